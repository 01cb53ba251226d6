"""A node whose own process was paused doesn't suspect other members.

After a pause its probes have expired although the answers have arrived.
"""

from tests.coordination.pump import Pump
from tests.support import function_tests

load_tests = function_tests(__name__)


def test_a_resumed_node_suspects_no_member(
    twelve_nodes: Pump,
) -> None:
    twelve_nodes.freeze('n3')
    twelve_nodes.run(1.5)
    stamps = {
        name: fleet.own_member.stamp
        for name, fleet in twelve_nodes.live().items()
    }
    twelve_nodes.thaw('n3')
    twelve_nodes.run(10)
    for name, stamp in stamps.items():
        assert twelve_nodes.live()[name].own_member.stamp == stamp
    assert {len(fleet.members) for fleet in twelve_nodes.live().values()} == {
        12
    }


def test_a_short_pause_removes_no_member(twelve_nodes: Pump) -> None:
    for name in ('n1', 'n5', 'n9'):
        twelve_nodes.freeze(name)
        twelve_nodes.run(3)
        twelve_nodes.thaw(name)
        twelve_nodes.run(1)
    twelve_nodes.run(10)
    assert {len(fleet.members) for fleet in twelve_nodes.live().values()} == {
        12
    }


def test_a_pause_postpones_a_removal_only_once(twelve_nodes: Pump) -> None:
    fleet = twelve_nodes.live()['n3']
    twelve_nodes.stop('n5')
    twelve_nodes.run_until(lambda: 'n5' in fleet.suspects, 8)
    twelve_nodes.freeze('n3')
    twelve_nodes.run(60)
    twelve_nodes.thaw('n3')
    twelve_nodes.run(10)
    assert 'n5' not in fleet.members
