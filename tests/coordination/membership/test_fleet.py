"""Nodes discover each other and converge without a leader."""

from daisyline.coordination.membership.failure_detector import ANSWER_TIMEOUT_S
from daisyline.coordination.membership.fleet_events import NodeUnreachable
from daisyline.coordination.membership.membership import SUSPICION_TIMEOUT_S
from daisyline.state.targets import Phase, Target
from tests.coordination.pump import Pump, settings_value
from tests.support import function_tests

load_tests = function_tests(__name__)

REMOVAL_BOUND_S = 8
IN_FORCE_BOUND_S = 6
LEAVING_BOUND_S = 3


def all_removed(pump: Pump, name: str) -> bool:
    return all(name not in fleet.members for fleet in pump.live().values())


def all_have_in_force(pump: Pump, version: int) -> bool:
    fleets = pump.live().values()
    return all(fleet.settings.version == version for fleet in fleets)


def test_nodes_started_together_find_each_other(twelve_nodes: Pump) -> None:
    assert {len(fleet.members) for fleet in twelve_nodes.live().values()} == {
        12
    }


def test_a_crashed_node_is_removed_by_all(twelve_nodes: Pump) -> None:
    twelve_nodes.stop('n3')
    twelve_nodes.run_until(
        lambda: all_removed(twelve_nodes, 'n3'), REMOVAL_BOUND_S
    )


def test_an_undelivered_call_makes_a_crashed_node_a_suspect(
    twelve_nodes: Pump,
) -> None:
    twelve_nodes.stop('n3')
    twelve_nodes.deliver('n0', NodeUnreachable('n3'))
    twelve_nodes.run(4 * ANSWER_TIMEOUT_S)
    assert all('n3' in fleet.suspects for fleet in twelve_nodes.live().values())
    twelve_nodes.run(SUSPICION_TIMEOUT_S)
    assert all_removed(twelve_nodes, 'n3')


def test_an_undelivered_call_does_not_remove_a_live_node(
    twelve_nodes: Pump,
) -> None:
    twelve_nodes.deliver('n0', NodeUnreachable('n3'))
    twelve_nodes.run(REMOVAL_BOUND_S)
    assert {len(fleet.members) for fleet in twelve_nodes.live().values()} == {
        12
    }


def test_one_broken_link_removes_no_member(twelve_nodes: Pump) -> None:
    successor = twelve_nodes.live()['n0']._gossip.members.overlay.successors()[
        0
    ]
    twelve_nodes.is_cut = lambda *ends: (
        sorted(ends) == sorted(['n0', successor])
    )
    revision = twelve_nodes.live()[successor].own_member.revision
    twelve_nodes.run(60)
    assert twelve_nodes.live()[successor].own_member.revision == revision, (
        'the member was suspected and refuted it'
    )
    assert {len(fleet.members) for fleet in twelve_nodes.live().values()} == {
        12
    }


def test_a_node_that_leaves_is_removed_at_once(
    twelve_nodes: Pump,
) -> None:
    fleet = twelve_nodes.live()['n3']
    twelve_nodes.carry_out('n3', fleet.leave(twelve_nodes.now))
    twelve_nodes.run(0.5)
    twelve_nodes.stop('n3')
    assert all_removed(twelve_nodes, 'n3')


def test_all_nodes_know_a_leaving_target_in_time(twelve_nodes: Pump) -> None:
    target = Target('docs', '1', 'i', '10.0.0.3', 80, Phase.LEAVING)
    fleet = twelve_nodes.live()['n3']
    twelve_nodes.carry_out('n3', fleet.set_target(target, twelve_nodes.now))
    twelve_nodes.run_until(
        lambda: all(
            fleet.members['n3'].target == target
            for fleet in twelve_nodes.live().values()
        ),
        LEAVING_BOUND_S,
    )


def test_a_removed_node_that_resumes_is_a_member_again(
    twelve_nodes: Pump,
) -> None:
    twelve_nodes.freeze('n3')
    twelve_nodes.run(60)
    assert all_removed(twelve_nodes, 'n3')
    twelve_nodes.stop('n5')
    twelve_nodes.run(60)
    twelve_nodes.thaw('n3')
    twelve_nodes.run(15)
    assert {len(fleet.members) for fleet in twelve_nodes.live().values()} == {
        11
    }


def test_settings_reach_all_nodes(twelve_nodes: Pump) -> None:
    version = twelve_nodes.platform.put('settings', 'tree', settings_value())
    twelve_nodes.run_until(
        lambda: all_have_in_force(twelve_nodes, version), IN_FORCE_BOUND_S
    )
    twelve_nodes.run(5)
    for fleet in twelve_nodes.live().values():
        assert set(fleet.settings_versions.values()) == {version}


def test_deleted_settings_stay_in_force_until_created_again(
    twelve_nodes: Pump,
) -> None:
    version = twelve_nodes.live()['n0'].settings.version
    twelve_nodes.platform.put('settings', 'tree', None)
    twelve_nodes.run(60)
    assert all_have_in_force(twelve_nodes, version)
    second_version = twelve_nodes.platform.put(
        'settings', 'tree', settings_value()
    )
    twelve_nodes.run_until(
        lambda: all_have_in_force(twelve_nodes, second_version),
        IN_FORCE_BOUND_S,
    )


def test_a_node_started_during_an_outage_gets_settings_from_peers(
    twelve_nodes: Pump,
) -> None:
    version = twelve_nodes.live()['n0'].settings.version
    twelve_nodes.platform.up = False
    fleet = twelve_nodes.start(20, peers=[19, 3])
    twelve_nodes.run_until(lambda: fleet.settings.version == version, 3)
    assert len(fleet.members) == 13


def test_a_single_node_uses_the_settings_on_the_platform(pump: Pump) -> None:
    version = pump.platform.put('settings', 'tree', settings_value())
    fleet = pump.start(1)
    pump.run_until(lambda: fleet.settings.version == version, 6)


def test_regions_partitioned_in_an_outage_merge_again(
    twelve_nodes: Pump,
) -> None:
    regions = {
        name: fleet.own_member.region
        for name, fleet in twelve_nodes.live().items()
    }
    twelve_nodes.is_cut = lambda *ends: (
        len({regions[name] for name in ends}) == 2
    )
    twelve_nodes.platform.up = False
    twelve_nodes.run(3600)
    assert {len(fleet.members) for fleet in twelve_nodes.live().values()} == {
        3,
        9,
    }
    twelve_nodes.is_cut = lambda *_ends: False
    twelve_nodes.run_until(
        lambda: all(
            len(fleet.members) == 12 for fleet in twelve_nodes.live().values()
        ),
        20,
    )
