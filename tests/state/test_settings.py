"""The settings tree inherits from the general to the particular."""

from daisyline.state.settings import DEFAULT_SLOTS, Settings
from tests.support import function_tests

load_tests = function_tests(__name__)


def test_a_service_overrides_its_zone_and_a_zone_the_defaults() -> None:
    settings = Settings.from_tree(
        1,
        {
            'defaults': {'slots_per_upstream': 2},
            'zones': {'ghent-a': {'slots_per_upstream': 3}},
            'services': {
                'docs': {'zones': {'ghent-a': {'slots_per_upstream': 9}}},
            },
        },
    )
    docs = settings.limits_for('docs', 'ghent-a')
    other = settings.limits_for('other', 'ghent-a')
    elsewhere = settings.limits_for('other', 'antwerp-c')
    assert docs.slots_per_upstream == 9
    assert other.slots_per_upstream == 3
    assert elsewhere.slots_per_upstream == 2


def test_an_empty_tree_gives_the_defaults() -> None:
    limits = Settings().limits_for('docs', 'ghent-a')
    assert limits.slots_per_upstream == DEFAULT_SLOTS
