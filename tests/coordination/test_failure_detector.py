"""A node whose own process was paused doesn't suspect other members.

After a pause its probes have expired although the answers have arrived.
"""

from tests.coordination.pump import Pump
from tests.support import function_tests

load_tests = function_tests(__name__)


def test_a_resumed_node_suspects_no_member(dozen: Pump) -> None:
    dozen.freeze('n3')
    dozen.run(1.5)
    stamps = {
        name: fleet.own_member.stamp for name, fleet in dozen.live().items()
    }
    dozen.thaw('n3')
    dozen.run(10)
    for name, stamp in stamps.items():
        assert dozen.live()[name].own_member.stamp == stamp
    assert {len(fleet.members) for fleet in dozen.live().values()} == {12}


def test_a_short_pause_removes_no_member(dozen: Pump) -> None:
    for name in ('n1', 'n5', 'n9'):
        dozen.freeze(name)
        dozen.run(3)
        dozen.thaw(name)
        dozen.run(1)
    dozen.run(10)
    assert {len(fleet.members) for fleet in dozen.live().values()} == {12}


def test_a_pause_postpones_a_removal_only_once(dozen: Pump) -> None:
    fleet = dozen.live()['n3']
    dozen.stop('n5')
    dozen.run_until(lambda: 'n5' in fleet.suspects, 8)
    dozen.freeze('n3')
    dozen.run(60)
    dozen.thaw('n3')
    dozen.run(10)
    assert 'n5' not in fleet.members
