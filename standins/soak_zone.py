"""Take zones out and in as operators do, on the loop of a soak run."""

import functools
import random
import uuid
from collections.abc import Callable
from typing import Any

from daisyline.coordination.effects import PlatformRead, PlatformWrite
from daisyline.coordination.settings_change import SettingsChange
from daisyline.coordination.settings_intents import SetZone
from daisyline.coordination.settings_results import (
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
from standins.soak_records import ZoneAway
from standins.soak_schedule import ZoneOut

PATIENCE_S = 60.0


class ZoneChange:
    """One change of a zone's state on its way into the platform's store."""

    def __init__(
        self,
        loop: Loop,
        platform_port: int,
        intent: SetZone,
        on_end: Callable[[Any], None],
    ) -> None:
        """Prepare; `on_end` gets how the change ended."""
        self._loop = loop
        self._client = PlatformClient(loop, (HOST, platform_port), self._hear)
        author = Author(str(uuid.uuid4()), 'soak', now_in_utc())
        give_up_at = loop.now() + PATIENCE_S
        self._change = SettingsChange.from_config(
            intent, author, give_up_at, random.Random(author.change_id)
        )
        self._on_end = on_end

    def start(self) -> None:
        """Begin to make the change."""
        self._carry_out_all(self._change.start())

    @functools.singledispatchmethod
    def carry_out(self, effect: Any) -> None:
        """Carry out one effect.

        Raises:
            TypeError: If the effect is not known.
        """
        raise TypeError(effect)

    @carry_out.register
    def _read(self, effect: PlatformRead) -> None:
        self._client.call(effect)

    @carry_out.register
    def _write(self, effect: PlatformWrite) -> None:
        self._client.call(effect)

    @carry_out.register
    def _pause(self, effect: Pause) -> None:
        resume = functools.partial(self._hear, Resume())
        self._loop.call_later(effect.seconds, resume)

    def _hear(self, event: Any) -> None:
        self._carry_out_all(self._change.handle(event, self._loop.now()))

    def _carry_out_all(self, effects: list[Any]) -> None:
        for effect in effects:
            self.carry_out(effect)
        if self._change.result is not None:
            self._on_end(self._change.result)


class ZoneTrip:
    """Takes a zone out, and after some seconds in again."""

    def __init__(self, injector: Injector, fault: ZoneOut) -> None:
        """Prepare; nothing is changed."""
        self._injector = injector
        self._fault = fault
        self._accepted_at: float | None = None

    def start(self) -> None:
        """Take the zone out."""
        self._injector.zone_out = self._fault.zone
        self._injector.log.under_way += 1
        self._change('out', self._is_out)

    def _change(self, state: str, on_end: Callable[[Any], None]) -> None:
        fleet = self._injector.fleet
        intent = SetZone(self._fault.zone, state)
        ZoneChange(fleet.loop, fleet.platform_port, intent, on_end).start()

    def _is_out(self, result: Any) -> None:
        if isinstance(result, Applied):
            self._accepted_at = self._injector.now()
        self._injector.later(self._fault.seconds, self._bring_back)

    def _bring_back(self) -> None:
        if self._accepted_at is not None:
            away = ZoneAway(
                self._fault.zone, self._accepted_at, self._injector.now()
            )
            self._injector.journal.zones_away.append(away)
        self._change('in', self._is_in)

    def _is_in(self, _result: Any) -> None:
        self._injector.zone_out = ''
        self._injector.log.under_way -= 1
