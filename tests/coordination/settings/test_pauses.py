"""A node that was paused acts on nothing that ran out in the meantime."""

import functools

from tests.coordination.pump import (
    Pump,
    make_pump,
    readers_of,
    settings_value,
)
from tests.support import function_tests

load_tests = function_tests(__name__)

PAUSES_S = (1, 3, 10, 60)
SIZE = 8
#: A change is in force within this time on a node that runs.
IN_FORCE_S = 2.0


def started_fleet(seed: int) -> Pump:
    pump = make_pump(seed)
    pump.platform.put('settings', 'tree', settings_value())
    for number in range(SIZE):
        pump.start(number)
    pump.run(20)
    return pump


def has_in_force(pump: Pump, version: int) -> bool:
    return all(
        fleet.settings.version == version for fleet in pump.live().values()
    )


def test_a_paused_reader_brings_back_no_older_settings() -> None:
    for pause_s in PAUSES_S:
        pump = started_fleet(pause_s)
        paused = readers_of(pump)[0]
        pump.freeze(paused)
        pump.platform.put('settings', 'tree', settings_value())
        pump.run(pause_s / 2)
        newest = pump.platform.put('settings', 'tree', settings_value())
        pump.run(pause_s / 2)
        pump.thaw(paused)
        # The pump checks at each step that no version decreases.
        pump.run_until(
            functools.partial(has_in_force, pump, newest),
            IN_FORCE_S,
        )


def test_a_paused_node_suspects_nobody_when_it_resumes() -> None:
    for pause_s in PAUSES_S:
        pump = started_fleet(pause_s)
        pump.freeze('n3')
        pump.run(pause_s)
        pump.thaw('n3')
        pump.run(1)
        fleet = pump.live()['n3']
        assert not fleet.suspects, pause_s
        assert len(fleet.members) == SIZE
