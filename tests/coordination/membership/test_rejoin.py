"""Members that were removed are called again at their addresses."""

from typing import Any

from daisyline.coordination.membership.gossip_messages import Join
from daisyline.coordination.membership.overlay import RING_COUNT
from daisyline.coordination.membership.rejoin import (
    INTERVAL_S_PER_MEMBER,
    RECENT_INTERVAL_S,
    RECENT_WINDOW_S,
)
from tests.coordination.pump import Pump, make_pump, settings_value
from tests.support import function_tests

load_tests = function_tests(__name__)

#: A change of settings is in force everywhere within this time, so a node
#: that starts without the store must not take longer to get them.
RESTART_BOUND_S = 2.0
RESTARTS = 24
NEIGHBOURS = 2 * RING_COUNT
GONE_NODES = ('n8', 'n9', 'n10', 'n11')


def leave_and_stop(pump: Pump, name: str) -> None:
    fleet = pump.live()[name]
    pump.carry_out(name, fleet.leave(pump.now))
    pump.run(1)
    pump.stop(name)


def start_in_time(pump: Pump, number: int, version: int) -> None:
    fleet = pump.start(number)
    pump.run_until(lambda: fleet.settings.version == version, RESTART_BOUND_S)


def test_nodes_that_restart_in_an_outage_get_settings_soon(
    twelve_nodes: Pump,
) -> None:
    version = twelve_nodes.live()['n0'].settings.version
    twelve_nodes.platform.up = False
    for name in GONE_NODES:
        leave_and_stop(twelve_nodes, name)
    for restart in range(RESTARTS):
        number = restart % 8
        leave_and_stop(twelve_nodes, f'n{number}')
        twelve_nodes.run(twelve_nodes.rng.uniform(0.5, 5))
        start_in_time(twelve_nodes, number, version)


def test_a_node_that_restarts_after_a_kill_gets_settings_soon(
    twelve_nodes: Pump,
) -> None:
    version = twelve_nodes.live()['n0'].settings.version
    twelve_nodes.platform.up = False
    for number in range(6):
        twelve_nodes.stop(f'n{number}')
        twelve_nodes.run(twelve_nodes.rng.uniform(4, 10))
        start_in_time(twelve_nodes, number, version)


def joins_after_a_leave(size: int) -> int:
    pump = make_pump(size)
    pump.platform.put('settings', 'tree', settings_value())
    for number in range(size):
        pump.start(number)
    pump.run(20)
    leave_and_stop(pump, 'n3')
    sent: list[Any] = []
    pump.on_send = lambda _sender, message: sent.append(message)
    pump.run(RECENT_WINDOW_S)
    return sum(isinstance(message, Join) for message in sent)


def test_calls_of_a_member_that_left_are_few_in_any_fleet() -> None:
    per_neighbour = 2 * RECENT_WINDOW_S / RECENT_INTERVAL_S
    of_all_nodes = 2 * RECENT_WINDOW_S / INTERVAL_S_PER_MEMBER
    bound = NEIGHBOURS * per_neighbour + of_all_nodes
    for size in (30, 90):
        assert 0 < joins_after_a_leave(size) <= bound
