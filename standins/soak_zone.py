"""Changes of a zone's state as operators make them, in a soak run."""

import functools
import random
import uuid
from collections.abc import Callable
from typing import Any

from daisyline.coordination.effects import PlatformRead, PlatformWrite
from daisyline.coordination.settings.settings_change import SettingsChange
from daisyline.coordination.settings.settings_intents import SetZone
from daisyline.coordination.settings.settings_results import (
    Applied,
    Author,
    Pause,
    Resume,
)
from daisyline.programs.operator_settings import now_in_utc
from daisyline.transport.loop import Loop
from daisyline.transport.platform_client import PlatformClient
from standins.processes import HOST
from standins.soak_injector import Injector
from standins.soak_records import ZoneOutPeriod
from standins.soak_schedule import ZoneOut

CHANGE_TIMEOUT_S = 60.0


class ZoneChange:
    """Writes one change of a zone's state to the platform."""

    def __init__(
        self,
        loop: Loop,
        platform_port: int,
        intent: SetZone,
        on_result: Callable[[Any], None],
    ) -> None:
        """Create a change that is not started; `on_result` gets its result."""
        self._loop = loop
        self._client = PlatformClient(
            loop, (HOST, platform_port), self._handle_event
        )
        author = Author(str(uuid.uuid4()), 'soak', now_in_utc())
        deadline = loop.now() + CHANGE_TIMEOUT_S
        self._change = SettingsChange.from_config(
            intent, author, deadline, random.Random(author.change_id)
        )
        self._on_result = on_result

    def start(self) -> None:
        """Start the change."""
        self._apply_effects(self._change.start())

    @functools.singledispatchmethod
    def apply_effect(self, effect: Any) -> None:
        """Apply one effect of the change.

        Raises:
            TypeError: If the type of the effect is unknown.
        """
        raise TypeError(effect)

    @apply_effect.register
    def _read(self, effect: PlatformRead) -> None:
        self._client.call(effect)

    @apply_effect.register
    def _write(self, effect: PlatformWrite) -> None:
        self._client.call(effect)

    @apply_effect.register
    def _pause(self, effect: Pause) -> None:
        resume = functools.partial(self._handle_event, Resume())
        self._loop.call_later(effect.seconds, resume)

    def _handle_event(self, event: Any) -> None:
        self._apply_effects(self._change.handle(event, self._loop.now()))

    def _apply_effects(self, effects: list[Any]) -> None:
        for effect in effects:
            self.apply_effect(effect)
        if self._change.result is not None:
            self._on_result(self._change.result)


class ZoneOutAndIn:
    """Takes a zone out and brings it back in after some seconds."""

    def __init__(self, injector: Injector, fault: ZoneOut) -> None:
        """Create the fault; no zone is changed yet."""
        self._injector = injector
        self._fault = fault
        self._accepted_at: float | None = None

    def start(self) -> None:
        """Start to take the zone out."""
        self._injector.zone_out = self._fault.zone
        self._injector.log.active_faults += 1
        self._change('out', self._handle_zone_out)

    def _change(self, state: str, on_result: Callable[[Any], None]) -> None:
        fleet = self._injector.fleet
        intent = SetZone(self._fault.zone, state)
        ZoneChange(fleet.loop, fleet.platform_port, intent, on_result).start()

    def _handle_zone_out(self, result: Any) -> None:
        if isinstance(result, Applied):
            self._accepted_at = self._injector.now()
        self._injector.call_later(self._fault.seconds, self._restore)

    def _restore(self) -> None:
        if self._accepted_at is not None:
            period = ZoneOutPeriod(
                self._fault.zone, self._accepted_at, self._injector.now()
            )
            self._injector.journal.zone_out_periods.append(period)
        self._change('in', self._handle_zone_in)

    def _handle_zone_in(self, _result: Any) -> None:
        self._injector.zone_out = ''
        self._injector.log.active_faults -= 1
