"""Limits are inherited from general to specific sections of the tree."""

from typing import Any

import attrs
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from daisyline.state.limits import DEFAULT_SLOTS, Limits
from daisyline.state.rollout_plan import PlanState, RolloutPlan
from daisyline.state.settings import BUILT_IN, Settings
from daisyline.state.settings_edits import ABSENT, value_at
from tests.state.test_settings_edits import TREES
from tests.support import function_tests

load_tests = function_tests(__name__)


def test_a_service_overrides_its_zone_and_a_zone_overrides_defaults() -> None:
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


@profile(derandomize=True, max_examples=150, deadline=None)
@given(
    tree=TREES,
    service=st.sampled_from(('docs', 'shop', 'none')),
    zone=st.sampled_from(('ghent-a', 'ghent-b', 'none')),
)
def test_each_limit_comes_from_the_most_specific_path_that_sets_it(
    tree: Any, service: str, zone: str
) -> None:
    settings = Settings.from_tree(1, tree)
    limits = attrs.asdict(settings.limits_for(service, zone))
    for limit in settings.effective(service, zone):
        levels = (
            ('services', service, 'zones', zone),
            ('services', service),
            ('zones', zone),
            ('defaults',),
        )
        setting_paths = [
            (*level, limit.name)
            for level in levels
            if value_at(tree, (*level, limit.name)) is not ABSENT
        ]
        assert limit.content == limits[limit.name]
        if setting_paths:
            assert limit.source_path == '.'.join(setting_paths[0])
            assert limit.content == value_at(tree, setting_paths[0])
        else:
            assert limit.source_path == BUILT_IN
            assert limit.content == attrs.asdict(Limits())[limit.name]


def test_limits_of_a_service_and_zone_are_cached() -> None:
    settings = Settings.from_tree(1, {'defaults': {'slots_per_upstream': 2}})
    first_limits = settings.limits_for('docs', 'ghent-a')
    assert settings.limits_for('docs', 'ghent-a') is first_limits


def test_the_cache_stays_bounded_for_any_number_of_names() -> None:
    settings = Settings()
    for number in range(6000):
        settings.limits_for(str(number), 'ghent-a')
    assert len(settings._cache) <= 4096


def test_tenants_hosts_and_rollouts_are_read_from_the_tree() -> None:
    settings = Settings.from_object(
        7,
        {
            'tree': {
                'cluster': 'c',
                'services': {'docs': {'hosts': ['sheets.example']}},
                'tenants': {'acme': {'weight': 3}},
                'rollouts': {
                    'docs': {
                        'id': 'r1',
                        'old': '1',
                        'new': '2',
                        'finish_in_s': 60,
                        'state': 'stopped',
                    }
                },
            }
        },
    )
    assert isinstance(settings, Settings)
    assert settings.version == 7
    assert settings.weight_of('acme') == 3
    assert settings.weight_of('other') == 1
    assert settings.hosts == {'sheets.example': 'docs'}
    assert settings.rollout_of('shop') is None
    assert settings.rollout_of('docs') == RolloutPlan(
        service='docs',
        id='r1',
        old='1',
        new='2',
        finish_in_s=60,
        state=PlanState.STOPPED,
    )
