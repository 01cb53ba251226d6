"""What a stand-in target keeps of the calls and connections it saw."""

from typing import Any

import attrs

from standins.target_messages import CallReceived

MAX_RECORDS = 200_000
LEAVING_GRACE_S = 5.0
REPEATABLE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))


@attrs.define
class CallRecord:
    """What became of one call id.

    Attributes:
        method: The request's method.
        path: The request's path.
        runs: How often the target began to run it.
        status: The last status answered; 0 if none was.
        cancelled: Runs that were cancelled.
    """

    method: str
    path: str
    runs: int = 0
    status: int = 0
    cancelled: int = 0


@attrs.frozen
class Violation:
    """A limit that the target's load broke.

    Attributes:
        limit: `slots`, `connections`, `cold`, `leaving` or `twice`.
        at: When, in monotonic seconds.
        detail: The value that broke it.
    """

    limit: str
    at: float
    detail: Any


@attrs.define
class Records:
    """Counts, maxima, violations and calls of one target.

    Attributes:
        calls: What became of each call that carried an id.
        started_calls: Calls begun, with or without an id.
        ended_calls: Calls answered.
        cancelled_calls: Calls cancelled.
        probes: Requests for the load.
        connections: Connections open now.
        accepted: Connections made since the start.
        max_running: The most calls at once.
        max_connections: The most connections at once.
        violations: Limits that were broken, in order.
    """

    calls: dict[str, CallRecord] = attrs.field(factory=dict)
    started_calls: int = 0
    ended_calls: int = 0
    cancelled_calls: int = 0
    probes: int = 0
    connections: int = 0
    accepted: int = 0
    max_running: int = 0
    max_connections: int = 0
    violations: list[Violation] = attrs.field(factory=list)
    _left_at: float | None = None

    @property
    def counts(self) -> dict[str, int]:
        """Return the numbers alone, without calls and violations."""
        fields = attrs.asdict(self, recurse=False)
        return {
            key: value
            for key, value in fields.items()
            if isinstance(value, int)
        }

    def record_connection(self, limit: int, now: float) -> None:
        """Record a new connection."""
        self.accepted += 1
        self.connections += 1
        self.max_connections = max(self.max_connections, self.connections)
        if self.connections > limit:
            self.record_violation('connections', now, self.connections)

    def record_disconnection(self) -> None:
        """Record the end of a connection."""
        self.connections -= 1
        assert self.connections >= 0

    def record_start(
        self, call: CallReceived, running: int, now: float
    ) -> None:
        """Record that a call began to run."""
        self.started_calls += 1
        self.max_running = max(self.max_running, running)
        if self._left_at is not None and now > self._left_at + LEAVING_GRACE_S:
            self.record_violation('leaving', now, call.path)
        if call.call_id:
            self._count_run(call, now)

    def record_answer(self, call: CallReceived, status: int) -> None:
        """Record that a call was answered."""
        self.ended_calls += 1
        record = self.calls.get(call.call_id)
        if record is not None:
            record.status = status

    def record_cancellation(self, call: CallReceived) -> None:
        """Record that a call was cancelled."""
        self.cancelled_calls += 1
        record = self.calls.get(call.call_id)
        if record is not None:
            record.cancelled += 1

    def record_leaving(self, now: float) -> None:
        """Record that the target was told to leave."""
        if self._left_at is None:
            self._left_at = now

    def record_violation(self, limit: str, now: float, detail: Any) -> None:
        """Record that a limit was broken."""
        if len(self.violations) < MAX_RECORDS:
            self.violations.append(Violation(limit, now, detail))

    def to_json(self) -> dict[str, Any]:
        """Return all records as JSON values."""
        return {
            'counts': self.counts,
            'violations': [attrs.asdict(entry) for entry in self.violations],
            'calls': {
                call_id: attrs.asdict(record)
                for call_id, record in self.calls.items()
            },
        }

    def _count_run(self, call: CallReceived, now: float) -> None:
        record = self.calls.get(call.call_id)
        if record is None:
            record = CallRecord(call.method, call.path)
            self.calls[call.call_id] = record
            if len(self.calls) > MAX_RECORDS:
                self.calls.pop(next(iter(self.calls)))
        record.runs += 1
        if record.runs > 1 and call.method not in REPEATABLE_METHODS:
            self.record_violation('twice', now, call.call_id)
