"""Nodes that start make few calls on the platform, alone or all at once."""

from collections.abc import Iterator
from typing import Any

from daisyline.coordination.effects import PlatformList
from daisyline.coordination.settings.order_reading import (
    ROLLOUTS_KIND,
    ZONES_KIND,
)
from daisyline.coordination.settings.platform_reading import PlatformReadConfig
from daisyline.coordination.settings.reader_role import SETTINGS_KIND
from tests.coordination.pump import Pump, make_pump, settings_value
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)

SIZE = 60
START_S = 12
RESTARTS = 20
#: A read that may be stale costs the platform a tenth of another call.
STALE_PRICE = 0.1
#: One read of the settings and of the seeds, and the work of a few readers.
START_PRICE_PER_NODE = 4.0
RESTART_PRICE = 2.0
REJECTED_S = 8


@fixture
def platform_fleet() -> Iterator[Pump]:
    """Yield nodes that read orders as well, right after their start."""
    pump = make_pump(1)
    pump.read_config = PlatformReadConfig(
        (SETTINGS_KIND, ZONES_KIND, ROLLOUTS_KIND), lists_are_current=True
    )
    pump.platform.put('settings', 'tree', settings_value())
    yield pump


class Bill:
    """The price of the calls that nodes make on the platform."""

    def __init__(self, pump: Pump) -> None:
        """Count all calls from now on."""
        self.total: float = 0
        pump.on_platform = self._add

    def of(self, pump: Pump, seconds: float) -> float:
        """Return the price of the next seconds."""
        before = self.total
        pump.run(seconds)
        return self.total - before

    def _add(self, effect: Any) -> None:
        is_stale = isinstance(effect, PlatformList) and effect.may_be_stale
        self.total += STALE_PRICE if is_stale else 1


def _start_all(pump: Pump) -> None:
    for number in range(SIZE):
        pump.start(number)
        pump.run(0.3 / SIZE)


def test_a_start_of_all_nodes_makes_few_calls(platform_fleet: Pump) -> None:
    bill = Bill(platform_fleet)
    _start_all(platform_fleet)
    price = bill.of(platform_fleet, START_S)
    assert price < START_PRICE_PER_NODE * SIZE, price


def test_all_nodes_know_each_other_soon_after_a_common_start(
    platform_fleet: Pump,
) -> None:
    _start_all(platform_fleet)
    platform_fleet.run_until(
        lambda: all(
            len(fleet.members) == SIZE
            for fleet in platform_fleet.live().values()
        ),
        2,
    )


def test_a_restart_makes_few_calls(platform_fleet: Pump) -> None:
    bill = Bill(platform_fleet)
    _start_all(platform_fleet)
    platform_fleet.run(30)
    restart_s = 2.0
    steady = bill.of(platform_fleet, RESTARTS * restart_s)
    before = bill.total
    for number in range(RESTARTS):
        platform_fleet.stop(f'n{number}')
        platform_fleet.start(number)
        platform_fleet.run(restart_s)
    restarts = bill.total - before - steady
    assert restarts < RESTART_PRICE * RESTARTS


def test_a_store_that_rejects_most_nodes_costs_less_than_a_start(
    platform_fleet: Pump,
) -> None:
    _start_all(platform_fleet)
    platform_fleet.run(START_S)
    names = sorted(platform_fleet.nodes)
    platform_fleet.refused_nodes = frozenset(names[: SIZE * 9 // 10])
    bill = Bill(platform_fleet)
    price = bill.of(platform_fleet, REJECTED_S)
    assert price < START_PRICE_PER_NODE * SIZE, price
