"""The log of decisions: typed events and the numbers behind each decision."""

import itertools
import operator
from collections import deque
from collections.abc import Callable

import attrs

MAX_CALL_EVENTS = 20_000
MAX_OTHER_EVENTS = 2_000


@attrs.frozen(slots=True)
class Event:
    """One decision.

    Attributes:
        at: The time of the decision, in monotonic seconds.
        call: The call's id; empty if the event concerns no single call.
    """

    at: float
    call: str = ''


@attrs.frozen(slots=True)
class Received(Event):
    """An entry node took a call on."""

    service: str = ''
    route: str = ''
    parent: str = ''
    left_ms: int = 0
    settings_version: int = 0


@attrs.frozen(slots=True)
class Picked(Event):
    """An entry node chose a target for a call."""

    service: str = ''
    target: str = ''
    zone: str = ''
    attempt: int = 1
    running: int = 0
    limit: int = 0
    pace_percent: int = 0
    report_age_ms: int = -1
    may_move: bool = False
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
class KeyRefused(Event):
    """A request was refused because of its key."""

    cause: str = ''
    key_hash: str = ''
    settings_version: int = 0
    left_out: int = 0


@attrs.frozen(slots=True)
class Retried(Event):
    """An entry node sent a call again, within the retry budget."""

    target: str = ''
    attempt: int = 2
    reason: str = ''
    budget_left: float = 0


@attrs.frozen(slots=True)
class MemoryShortage(Event):
    """The bytes that a node holds for others reached their limit, or ceased to."""

    state: str = ''
    held_bytes: int = 0
    limit_bytes: int = 0


@attrs.frozen(slots=True)
class BodyMoved(Event):
    """A long body of another node's call began to arrive, or ceased to."""

    node: str = ''
    stream: int = 0
    attempt: int = 0
    parts: int = 0
    octets: int = 0
    state: str = ''


@attrs.frozen(slots=True)
class Answered(Event):
    """A caller got its whole answer."""

    target: str = ''
    status: int = 0
    took_us: int = 0


@attrs.frozen(slots=True)
class BrokenOff(Event):
    """A caller got no whole answer, though its call may have run.

    Attributes:
        reason: Why the answer was not sent whole.
        state: `refused` if a refusal took its place; `reset` if the caller's
            connection was reset.
        answers_lost: How many further requests got no answer with a reset.
    """

    reason: str = ''
    state: str = ''
    answers_lost: int = 0


@attrs.frozen(slots=True)
class Quarantined(Event):
    """A request was stopped because it crashes targets."""

    target: str = ''
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
class TargetChanged(Event):
    """The target beside this node is new, has changed or has lapsed."""

    target: str = ''
    version: str = ''
    phase: str = ''
    cold_s: float = 0
    slots: int = 0


@attrs.frozen(slots=True)
class TargetLimited(Event):
    """The target beside this node names another limit, or none any more."""

    target: str = ''
    state: str = ''
    per_s: float = 0
    text: str = ''


@attrs.frozen(slots=True)
class PlatformRead(Event):
    """The platform became readable for this node, or ceased to be."""

    kind: str = ''
    state: str = ''
    status: int = 0


@attrs.frozen(slots=True)
class ReaderChanged(Event):
    """This node began or ceased to read the platform for other nodes."""

    state: str = ''
    age_ms: int = 0
    readers: str = ''
    unreadable: int = 0
    members: int = 0


@attrs.frozen(slots=True)
class StoreReturned(Event):
    """The platform's store came back from an older copy and is read again."""

    era: int = 0
    before: int = 0
    settings_version: int = 0


@attrs.frozen(slots=True)
class SettingsChanged(Event):
    """New settings came into force here."""

    version: int = 0


@attrs.frozen(slots=True)
class MemberChanged(Event):
    """A node joined, left or was lost."""

    node: str = ''
    zone: str = ''
    state: str = ''


@attrs.frozen(slots=True)
class DutyChanged(Event):
    """This node took over a single-holder duty or gave it up."""

    duty: str = ''
    state: str = ''
    token: int = 0
    window: int = 0
    why: str = ''


@attrs.frozen(slots=True)
class UsageReported(Event):
    """The platform answered the usage report of a window, or did not."""

    window: int = 0
    token: int = 0
    status: int = 0
    customers: int = 0
    calls: int = 0


Sink = Callable[[Event], None]


@attrs.define
class EventLog:
    """Two ring buffers of events, with sinks that get every event.

    Events of calls are far more frequent than all others. The others have a
    buffer of their own, so that events of calls do not displace them. Look-ups
    scan the buffers, as events are recorded often and looked up rarely.

    Attributes:
        sink_failures: The number of exceptions that sinks have raised.
    """

    _call_events: deque[Event]
    _other_events: deque[Event]
    _sinks: list[Sink] = attrs.field(factory=list)
    sink_failures: int = 0

    @classmethod
    def from_config(
        cls,
        max_call_events: int = MAX_CALL_EVENTS,
        max_other_events: int = MAX_OTHER_EVENTS,
    ) -> 'EventLog':
        """Build an empty log.

        Args:
            max_call_events: The number of events of calls to keep.
            max_other_events: The number of other events to keep.
        """
        return cls(
            deque(maxlen=max_call_events), deque(maxlen=max_other_events)
        )

    def add_sink(self, sink: Sink) -> None:
        """Pass each event that is added from now on to a function."""
        self._sinks.append(sink)

    def add(self, event: Event) -> None:
        """Record an event and pass it to the sinks.

        An exception of a sink is counted and not raised.
        """
        if event.call:
            self._call_events.append(event)
        else:
            self._other_events.append(event)
        for sink in self._sinks:
            try:
                sink(event)
            except Exception:
                self.sink_failures += 1

    def about_call(self, call: str) -> list[Event]:
        """Return the events of a call, in the order they were added."""
        return [event for event in self._call_events if event.call == call]

    def about_target(self, target: str) -> list[Event]:
        """Return the events of a target, the oldest first."""
        return self._find('target', target)

    def about_zone(self, zone: str) -> list[Event]:
        """Return the events of an availability zone, the oldest first."""
        return self._find('zone', zone)

    def about_rollout(self, rollout: str) -> list[Event]:
        """Return the events of a rollout, the oldest first."""
        return self._find('rollout', rollout)

    def events_without_call(self) -> list[Event]:
        """Return the events that concern no single call, oldest first."""
        return list(self._other_events)

    def _find(self, field: str, wanted: str) -> list[Event]:
        found = [
            event
            for event in itertools.chain(self._call_events, self._other_events)
            if getattr(event, field, None) == wanted
        ]
        return sorted(found, key=operator.attrgetter('at'))
