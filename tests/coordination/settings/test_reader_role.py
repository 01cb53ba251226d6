"""Only a few nodes read the platform, and readers that fail are replaced."""

import functools
import random
from unittest import mock

from daisyline.coordination.effects import PlatformReply, PlatformWatch
from daisyline.coordination.membership.fleet import Fleet
from daisyline.coordination.settings.order_reading import ZONES_KIND
from daisyline.coordination.settings.platform_reading import PlatformReadConfig
from daisyline.coordination.settings.reader_role import (
    FIRST_WATCH_DELAY_S,
    HANDOVER_OVERLAP_S,
    SETTINGS_KIND,
    ReaderRole,
)
from daisyline.state.members import Member
from daisyline.state.targets import Phase, Target
from tests.coordination.pump import (
    Pump,
    make_pump,
    readers_of,
    settings_value,
)
from tests.support import function_tests

load_tests = function_tests(__name__)

MODULE = 'daisyline.coordination.settings.reader_role'

# The required time until an acknowledged change is in force.
IN_FORCE_S = 2.0
# The required time until no calls go to a zone that was taken out.
ORDER_S = 5.0
# Promises hold for a node that has been without disturbance for this long.
CALM_S = 3.0


def calls_during(pump: Pump, seconds: float) -> int:
    before = pump.platform.calls
    pump.run(seconds)
    return pump.platform.calls - before


def running_fleet(size: int) -> Pump:
    pump = make_pump(size)
    pump.platform.put('settings', 'tree', settings_value())
    for number in range(size):
        pump.start(number)
    pump.run(60)
    return pump


def test_platform_calls_grow_more_slowly_than_the_fleet() -> None:
    small_fleet_calls = calls_during(running_fleet(6), 300)
    large_fleet_calls = calls_during(running_fleet(36), 300)
    assert large_fleet_calls < small_fleet_calls * 2


def test_readers_that_stop_are_replaced(twelve_nodes: Pump) -> None:
    reading = readers_of(twelve_nodes)
    # One in each of three zones, and two in the region that has one zone.
    assert len(reading) == 5
    for name in reading:
        twelve_nodes.stop(name)
    twelve_nodes.run(10)
    version = twelve_nodes.platform.put('settings', 'tree', settings_value())
    twelve_nodes.run_until(
        lambda: all(
            fleet.settings.version == version
            for fleet in twelve_nodes.live().values()
        ),
        6,
    )


def test_an_outage_brings_few_calls_and_ends_soon(twelve_nodes: Pump) -> None:
    twelve_nodes.platform.up = False
    outage_calls = calls_during(twelve_nodes, 600)
    assert outage_calls < 2.5 * 600
    version = twelve_nodes.platform.put('settings', 'tree', settings_value())
    twelve_nodes.platform.up = True
    twelve_nodes.run_until(
        lambda: all(
            fleet.settings.version == version
            for fleet in twelve_nodes.live().values()
        ),
        10,
    )


def test_platform_calls_in_an_outage_grow_more_slowly_than_the_fleet() -> None:
    call_counts = []
    for size in (12, 36):
        pump = running_fleet(size)
        pump.platform.up = False
        pump.run(200)
        call_counts.append(calls_during(pump, 60))
    assert call_counts[1] < call_counts[0] * 2


def test_readers_that_the_platform_refuses_are_replaced_in_time(
    twelve_nodes: Pump,
) -> None:
    first_readers = set(readers_of(twelve_nodes))
    assert len(first_readers) == 5
    twelve_nodes.refused_nodes = frozenset(first_readers)
    version = twelve_nodes.platform.put('settings', 'tree', settings_value())
    twelve_nodes.run_until(
        lambda: _all_have_version(twelve_nodes, version), IN_FORCE_S
    )
    twelve_nodes.run(HANDOVER_OVERLAP_S + 1)
    assert not set(readers_of(twelve_nodes)) & first_readers
    twelve_nodes.refused_nodes = frozenset()
    twelve_nodes.run(40)
    assert set(readers_of(twelve_nodes)) == first_readers


def test_readers_without_answers_of_the_platform_are_replaced(
    twelve_nodes: Pump,
) -> None:
    twelve_nodes.unanswered_nodes = frozenset(set(readers_of(twelve_nodes)))
    version = twelve_nodes.platform.put('settings', 'tree', settings_value())
    twelve_nodes.run_until(
        lambda: _all_have_version(twelve_nodes, version), IN_FORCE_S
    )


def test_nodes_that_start_together_do_not_all_watch() -> None:
    pump = make_pump(1)
    pump.platform.put('settings', 'tree', settings_value())
    for number in range(24):
        pump.start(number)
    watches = []
    pump.on_platform = watches.append
    pump.run(FIRST_WATCH_DELAY_S - 0.1)
    assert PlatformWatch not in set(map(type, watches))
    pump.run(20)
    assert len(set(readers_of(pump))) == 5


def test_a_joining_node_with_peers_reads_only_the_settings() -> None:
    me = Member('n1', '10.0.0.1', 7400, 'ghent-a', 'flanders', 1)
    for has_peers, kinds in (
        (True, ['settings']),
        (False, ['settings', 'zones']),
    ):
        reader_role = ReaderRole.from_kinds(
            me, (SETTINGS_KIND, 'zones'), random.Random(1), 0
        )
        calls = reader_role.tick(2, 0)
        reader_role.handle_reply(PlatformReply(calls[0].token, 200, 1, []), 0.1)
        if has_peers:
            reader_role.record_confirmation(1)
        calls += reader_role.tick(2, FIRST_WATCH_DELAY_S + 0.1)
        assert [call.kind for call in calls] == kinds


def _all_have_version(pump: Pump, version: int) -> bool:
    return all(
        fleet.settings.version == version for fleet in pump.live().values()
    )


def test_a_change_of_a_target_chooses_no_readers_anew(
    twelve_nodes: Pump,
) -> None:
    fleet = twelve_nodes.live()['n3']
    target = Target('docs', '1', 'i', '10.0.0.3', 80, Phase.READY)
    with mock.patch(f'{MODULE}.select_readers') as select:
        effects = fleet.set_target(target, twelve_nodes.now)
        twelve_nodes.carry_out('n3', effects)
        twelve_nodes.run(1)
    assert not select.called
    assert all(
        fleet.members['n3'].target == target
        for fleet in twelve_nodes.live().values()
    )


def test_a_node_reports_when_it_becomes_a_reader_and_when_it_is_replaced() -> (
    None
):
    pump = running_fleet(12)
    reader = readers_of(pump)[0]
    before = {name: len(one.effects) for name, one in pump.nodes.items()}
    pump.refused_nodes = frozenset((reader,))
    pump.run(3)
    states = {
        name: [change.state for change in one.effects[before[name] :]]
        for name, one in pump.nodes.items()
    }
    assert states.pop(reader) == ['replaced']
    assert sorted(filter(None, states.values())) == [['chosen']]


def _cut_off_all_but(pump: Pump, name: str, seconds: float) -> None:
    """Leave all nodes but one without answers, and change the settings."""
    pump.unanswered_nodes = frozenset(set(pump.nodes) - {name})
    until = pump.now + seconds
    while pump.now < until:
        version = pump.platform.put('settings', 'tree', settings_value())
        fleet = pump.live()[name]
        pump.run_until(
            functools.partial(_has_version, fleet, version), IN_FORCE_S
        )
        pump.run(IN_FORCE_S / 2)
    pump.unanswered_nodes = frozenset()


def _has_version(fleet: Fleet, version: int) -> bool:
    return fleet.settings.version == version


def test_a_change_is_in_force_in_time_on_the_only_node_that_can_read() -> None:
    for size in (9, 60):
        pump = running_fleet(size)
        for name in sorted(pump.nodes)[:9]:
            _cut_off_all_but(pump, name, seconds=8)
            pump.run(IN_FORCE_S)


def test_a_node_that_can_read_again_has_a_change_in_time() -> None:
    pump = running_fleet(9)
    for name in sorted(pump.nodes):
        pump.unanswered_nodes = frozenset(pump.nodes)
        pump.run(8)
        pump.unanswered_nodes -= {name}
        pump.run(CALM_S)
        _cut_off_all_but(pump, name, seconds=4)
        pump.run(IN_FORCE_S)


def test_a_read_by_another_node_keeps_nodes_from_reading_by_themselves(
    twelve_nodes: Pump,
) -> None:
    twelve_nodes.run(10)
    calls = calls_during(twelve_nodes, 60)
    twelve_nodes.unanswered_nodes = frozenset(readers_of(twelve_nodes))
    twelve_nodes.run(10)
    twelve_nodes.unanswered_nodes = frozenset()
    twelve_nodes.run(30)
    assert calls_during(twelve_nodes, 60) < 1.2 * calls


def test_an_order_is_read_in_time_by_the_only_node_that_can_read() -> None:
    pump = make_pump(1)
    pump.read_config = PlatformReadConfig((SETTINGS_KIND, ZONES_KIND), True)
    pump.platform.put('settings', 'tree', settings_value())
    for number in range(9):
        pump.start(number)
    pump.run(30)
    for name in sorted(pump.nodes):
        pump.unanswered_nodes = frozenset(set(pump.nodes) - {name})
        pump.run(1)
        zone = f'ghent-{name}'
        pump.platform.put(ZONES_KIND, zone, {'state': 'out'})
        fleet = pump.live()[name]
        pump.run_until(functools.partial(_knows_order, fleet, zone), ORDER_S)
        pump.unanswered_nodes = frozenset()
        pump.run(5)


def _knows_order(fleet: Fleet, zone: str) -> bool:
    return any(name == zone for _kind, name in fleet.facts)


def test_a_stand_in_goes_on_while_no_reader_confirms() -> None:
    pump = running_fleet(100)
    readers = readers_of(pump)
    only = next(name for name in sorted(pump.nodes) if name not in readers)
    pump.unanswered_nodes = frozenset(set(pump.nodes) - {only})
    pump.run(IN_FORCE_S)
    before = {name: _lapses(pump, name) for name in pump.nodes}
    pump.run(12)
    assert {name: _lapses(pump, name) for name in pump.nodes} == before


def _lapses(pump: Pump, name: str) -> int:
    """Return how often a node has become a stand-in."""
    return sum(
        getattr(effect, 'state', '') == 'stand-in'
        for effect in pump.nodes[name].effects
    )
