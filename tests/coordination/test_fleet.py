"""Nodes find each other and agree, without a leader."""

from daisyline.coordination.failure_detector import ANSWER_TIMEOUT_S
from daisyline.coordination.fleet_events import NodeUnreachable
from daisyline.coordination.membership import SUSPICION_S
from daisyline.state.targets import Phase, Target
from tests.coordination.pump import Pump, settings_value
from tests.support import function_tests

load_tests = function_tests(__name__)

REMOVAL_BOUND_S = 8
IN_FORCE_BOUND_S = 6
LEAVING_BOUND_S = 3


def all_lack(pump: Pump, name: str) -> bool:
    return all(name not in fleet.members for fleet in pump.live().values())


def all_serve(pump: Pump, version: int) -> bool:
    fleets = pump.live().values()
    return all(fleet.settings.version == version for fleet in fleets)


def test_nodes_started_together_find_each_other(dozen: Pump) -> None:
    assert {len(fleet.members) for fleet in dozen.live().values()} == {12}


def test_a_crashed_node_is_removed_by_all(dozen: Pump) -> None:
    dozen.stop('n3')
    dozen.run_until(lambda: all_lack(dozen, 'n3'), REMOVAL_BOUND_S)


def test_a_failed_call_has_a_crashed_node_suspected_at_once(
    dozen: Pump,
) -> None:
    dozen.stop('n3')
    dozen.deliver('n0', NodeUnreachable('n3'))
    dozen.run(4 * ANSWER_TIMEOUT_S)
    assert all('n3' in fleet.suspects for fleet in dozen.live().values())
    dozen.run(SUSPICION_S)
    assert all_lack(dozen, 'n3')


def test_a_hint_against_a_live_node_removes_nobody(dozen: Pump) -> None:
    dozen.deliver('n0', NodeUnreachable('n3'))
    dozen.run(REMOVAL_BOUND_S)
    assert {len(fleet.members) for fleet in dozen.live().values()} == {12}


def test_one_lost_link_removes_nobody(dozen: Pump) -> None:
    near = dozen.live()['n0']._gossip.members.overlay.successors()[0]
    dozen.cut = lambda *ends: sorted(ends) == sorted(['n0', near])
    revision = dozen.live()[near].me.revision
    dozen.run(60)
    assert dozen.live()[near].me.revision == revision, 'it was suspected'
    assert {len(fleet.members) for fleet in dozen.live().values()} == {12}


def test_a_node_that_stops_as_planned_is_removed_at_once(dozen: Pump) -> None:
    fleet = dozen.live()['n3']
    dozen.carry_out('n3', fleet.leave(dozen.now))
    dozen.run(0.5)
    dozen.stop('n3')
    assert all_lack(dozen, 'n3')


def test_a_leaving_target_is_known_to_all_in_time(dozen: Pump) -> None:
    target = Target('docs', '1', 'i', '10.0.0.3', 80, Phase.LEAVING)
    fleet = dozen.live()['n3']
    dozen.carry_out('n3', fleet.announce(target, dozen.now))
    dozen.run_until(
        lambda: all(
            fleet.members['n3'].target == target
            for fleet in dozen.live().values()
        ),
        LEAVING_BOUND_S,
    )


def test_a_frozen_node_that_wakes_is_a_member_again(dozen: Pump) -> None:
    dozen.freeze('n3')
    dozen.run(60)
    assert all_lack(dozen, 'n3')
    dozen.stop('n5')
    dozen.run(60)
    dozen.thaw('n3')
    dozen.run(15)
    assert {len(fleet.members) for fleet in dozen.live().values()} == {11}


def test_settings_reach_all(dozen: Pump) -> None:
    version = dozen.platform.put('settings', 'tree', settings_value())
    dozen.run_until(lambda: all_serve(dozen, version), IN_FORCE_BOUND_S)
    dozen.run(5)
    for fleet in dozen.live().values():
        assert set(fleet.settings_versions.values()) == {version}


def test_deleted_settings_stay_and_those_made_again_win(dozen: Pump) -> None:
    version = dozen.live()['n0'].settings.version
    dozen.platform.put('settings', 'tree', None)
    dozen.run(60)
    assert all_serve(dozen, version)
    again = dozen.platform.put('settings', 'tree', settings_value())
    dozen.run_until(lambda: all_serve(dozen, again), IN_FORCE_BOUND_S)


def test_a_node_started_during_an_outage_learns_from_its_peers(
    dozen: Pump,
) -> None:
    version = dozen.live()['n0'].settings.version
    dozen.platform.up = False
    fleet = dozen.start(20, peers=[19, 3])
    dozen.run_until(lambda: fleet.settings.version == version, 3)
    assert len(fleet.members) == 13


def test_a_node_alone_serves_what_the_platform_holds(pump: Pump) -> None:
    version = pump.platform.put('settings', 'tree', settings_value())
    fleet = pump.start(1)
    pump.run_until(lambda: fleet.settings.version == version, 6)


def test_regions_parted_in_an_outage_are_whole_again(dozen: Pump) -> None:
    regions = {name: fleet.me.region for name, fleet in dozen.live().items()}
    dozen.cut = lambda *ends: len({regions[name] for name in ends}) == 2
    dozen.platform.up = False
    dozen.run(3600)
    assert {len(fleet.members) for fleet in dozen.live().values()} == {3, 9}
    dozen.cut = lambda *_ends: False
    dozen.run_until(
        lambda: all(
            len(fleet.members) == 12 for fleet in dozen.live().values()
        ),
        20,
    )
