"""The records of a stand-in target: calls, connections and violations."""

from typing import Any

import attrs

from standins.target_messages import CallReceived

MAX_RECORDS = 200_000
LEAVING_GRACE_S = 5.0
REPEATABLE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))


@attrs.define
class CallRecord:
    """The runs and the outcome of the calls with one id.

    Attributes:
        method: The request's method.
        path: The request's path.
        runs: How many times the target began to run the call.
        status: The HTTP status of the last answer; 0 if there was none.
        cancelled: The number of cancelled runs.
        started_at: When the first run began, in monotonic seconds.
    """

    method: str
    path: str
    started_at: float
    runs: int = 0
    status: int = 0
    cancelled: int = 0


@attrs.frozen
class Violation:
    """A limit that was exceeded, or a rule of the contract that was broken.

    Attributes:
        limit: `slots`, `connections`, `cold`, `leaving`, `twice` or `body`.
        at: The time of the violation, in monotonic seconds.
        detail: The value that exceeded the limit, or the call or path.
    """

    limit: str
    at: float
    detail: Any


@attrs.define
class Records:
    """The counts, maxima, violations and calls of one target.

    Attributes:
        calls: The latest calls that carried an id, by id.
        started_calls: The number of calls begun, with or without an id.
        ended_calls: The number of calls answered.
        cancelled_calls: The number of calls cancelled.
        probes: The number of requests for the load.
        connections: The number of open connections.
        accepted: The number of connections accepted since the start.
        max_running: The greatest number of concurrent calls.
        max_connections: The greatest number of open connections.
        violations: The violations, in order of time.
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
        """Return the numeric fields, without calls and violations."""
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
        """Record that a connection was closed."""
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
        if call.is_body_changed:
            self.record_violation('body', now, call.call_id)
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
        """Record when the target was asked to leave for the first time."""
        if self._left_at is None:
            self._left_at = now

    def record_violation(self, limit: str, now: float, detail: Any) -> None:
        """Record a violation; none is added beyond `MAX_RECORDS`."""
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
            record = CallRecord(call.method, call.path, now)
            self.calls[call.call_id] = record
            if len(self.calls) > MAX_RECORDS:
                self.calls.pop(next(iter(self.calls)))
        record.runs += 1
        if record.runs > 1 and call.method not in REPEATABLE_METHODS:
            self.record_violation('twice', now, call.call_id)
