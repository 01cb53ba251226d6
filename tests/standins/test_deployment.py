"""Tests of the sizes and settings of the users' deployments."""

from collections import Counter

from daisyline.state.settings import Settings
from daisyline.state.settings_history import StoredSettings
from standins.deployment import ASSOCIACAO, DEPLOYMENTS, STOFBRIL
from tests.support import function_tests

load_tests = function_tests(__name__)


def test_each_service_has_its_upstreams_in_all_zones() -> None:
    counts = Counter(
        place.service.name
        for deployment in DEPLOYMENTS
        for place in deployment.instances
    )
    assert counts == {'catalogue': 6, 'docs': 3, 'pairing': 7, 'sessions': 3}
    for deployment in DEPLOYMENTS:
        for service in deployment.services:
            zones = {
                place.zone
                for place in deployment.instances
                if place.service == service
            }
            assert zones == set(deployment.zones)


def test_the_trees_contain_the_limits_of_the_contract() -> None:
    stofbril = Settings.from_tree(1, STOFBRIL.tree)
    associacao = Settings.from_tree(1, ASSOCIACAO.tree)
    assert stofbril.limits_for('docs', 'ghent-a').slots_per_upstream == 9
    assert associacao.limits_for('pairing', 'recife').slots_per_upstream == 6


def test_the_settings_check_accepts_the_trees() -> None:
    for deployment in DEPLOYMENTS:
        stored = StoredSettings.from_value(1, deployment.settings)
        assert isinstance(stored, StoredSettings), stored
