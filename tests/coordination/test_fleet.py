"""Nodes find each other and agree, without a leader."""

from tests.coordination.pump import Pump
from tests.support import function_tests

load_tests = function_tests(__name__)


def test_nodes_started_together_find_each_other(dozen: Pump) -> None:
    assert {len(fleet.members) for fleet in dozen.live().values()} == {12}


def test_a_crashed_node_is_removed_by_all(dozen: Pump) -> None:
    dozen.stop('n3')
    dozen.run_until(
        lambda: all(
            'n3' not in fleet.members for fleet in dozen.live().values()
        ),
        8,
    )


def test_settings_reach_all(dozen: Pump) -> None:
    version = dozen.platform.put('settings', 'tree', {'tree': {}})
    dozen.run_until(
        lambda: all(
            fleet.settings.version == version for fleet in dozen.live().values()
        ),
        6,
    )
