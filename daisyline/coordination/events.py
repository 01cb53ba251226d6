"""The record of decisions: typed events with their numbers."""

from collections import deque
from collections.abc import Callable, Iterable

import attrs

MAX_EVENTS = 20_000


@attrs.frozen(slots=True)
class Event:
    """One decision.

    Attributes:
        at: Monotonic time of the decision, in seconds.
        call: The call's id; empty if the decision is about no single call.
    """

    at: float
    call: str = ''


@attrs.frozen(slots=True)
class Picked(Event):
    """An entry node chose a target for a call."""

    service: str = ''
    target: str = ''
    zone: str = ''
    attempt: int = 1
    running: int = 0
    limit: int = 0
    candidates: int = 0


@attrs.frozen(slots=True)
class Admitted(Event):
    """A target's node gave a call a slot."""

    target: str = ''
    running: int = 0
    limit: int = 0
    waited_us: int = 0


@attrs.frozen(slots=True)
class Queued(Event):
    """A target's node put a call in its queue."""

    target: str = ''
    waiting: int = 0
    limit: int = 0


@attrs.frozen(slots=True)
class Refused(Event):
    """A call was refused or failed, with its reason and outcome."""

    target: str = ''
    reason: str = ''
    outcome: str = ''
    detail: str = ''


@attrs.frozen(slots=True)
class Retried(Event):
    """An entry node sent a call again, within the retry budget."""

    target: str = ''
    attempt: int = 2
    reason: str = ''
    budget_left: float = 0


@attrs.frozen(slots=True)
class Cut(Event):
    """A call was given up while it ran."""

    target: str = ''
    reason: str = ''
    ran_us: int = 0


@attrs.frozen(slots=True)
class Answered(Event):
    """A caller got its whole answer."""

    target: str = ''
    status: int = 0
    took_us: int = 0


@attrs.frozen(slots=True)
class Quarantined(Event):
    """A request was stopped because it crashes targets."""

    fingerprint: str = ''
    crashes: int = 0


@attrs.frozen(slots=True)
class RolloutMoved(Event):
    """A rollout came to a new stage or share."""

    service: str = ''
    rollout: str = ''
    stage: str = ''
    share: float = 0
    why: str = ''


@attrs.frozen(slots=True)
class ZoneChanged(Event):
    """An availability zone was taken out or brought back."""

    zone: str = ''
    state: str = ''


@attrs.frozen(slots=True)
class SettingsChanged(Event):
    """New settings came into force here."""

    version: int = 0


@attrs.frozen(slots=True)
class TargetCold(Event):
    """A target turned cold; it gets no more than its limit."""

    target: str = ''
    limit: int = 0


@attrs.frozen(slots=True)
class TargetWarm(Event):
    """A target is through its cold start."""

    target: str = ''
    limit: int = 0


@attrs.frozen(slots=True)
class MemberChanged(Event):
    """A node joined, left or was lost."""

    node: str = ''
    zone: str = ''
    state: str = ''


Sink = Callable[[Event], None]


@attrs.define
class EventLog:
    """A bounded ring of events with sinks.

    Attributes:
        sink_failures: How many times a sink raised.
    """

    _events: deque[Event]
    _sinks: list[Sink] = attrs.field(factory=list)
    sink_failures: int = 0

    @classmethod
    def from_config(cls, max_events: int = MAX_EVENTS) -> 'EventLog':
        """Build a log that keeps a number of events."""
        return cls(deque(maxlen=max_events))

    def add_sink(self, sink: Sink) -> None:
        """Hand every later event to a function too."""
        self._sinks.append(sink)

    def add(self, event: Event) -> None:
        """Record an event; a failing sink is counted and never raises."""
        self._events.append(event)
        for sink in self._sinks:
            try:
                sink(event)
            except Exception:
                self.sink_failures += 1

    def about_call(self, call: str) -> list[Event]:
        """Return the events of a call, the oldest first."""
        return self._where('call', call)

    def about_target(self, target: str) -> list[Event]:
        """Return the events of a target, the oldest first."""
        return self._where('target', target)

    def about_zone(self, zone: str) -> list[Event]:
        """Return the events of an availability zone, the oldest first."""
        return self._where('zone', zone)

    def about_rollout(self, rollout: str) -> list[Event]:
        """Return the events of a rollout, the oldest first."""
        return self._where('rollout', rollout)

    def _where(self, field: str, wanted: str) -> list[Event]:
        return list(
            _matching(self._events, field, wanted),
        )


def _matching(
    events: Iterable[Event], field: str, wanted: str
) -> Iterable[Event]:
    for event in events:
        if getattr(event, field, None) == wanted:
            yield event
