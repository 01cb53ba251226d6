"""Recent answers, kept so that an entry node can fetch one that was lost."""

import math

import attrs

from daisyline.coordination.calls.fingerprint import fingerprint
from daisyline.coordination.calls.messages import (
    AnswerHead,
    CallRefused,
    QueryCall,
    RunCall,
)

# Longer than an entry node takes to detect a broken stream and to ask for the
# outcome of its calls, in seconds.
RECORD_TTL_S = 30
# How long a request that a caller sends again with its idempotency key gets
# the answer of the first one, in seconds.
KEY_RECORD_TTL_S = 600
MAX_RECORD_BYTES = 65_536
MAX_RECORDS = 4_096
MAX_TOTAL_BYTES = 4_194_304
_MS_PER_S = 1000
_KEY_PREFIX = 'key:'


@attrs.frozen
class Record:
    """How a call ended.

    Attributes:
        message: The answer or refusal, or None if it isn't stored whole.
        expires_at: When the record expires, in monotonic seconds.
        request: The fingerprint of the request, if it had a key.
        rerouted: Whether this node refused the call so that another target
            runs it.
    """

    message: AnswerHead | CallRefused | None
    expires_at: float
    request: str = ''
    rerouted: bool = False

    @property
    def octets(self) -> int:
        """Return the size of the stored body, in bytes."""
        return (
            len(self.message.body)
            if isinstance(self.message, AnswerHead)
            else 0
        )


@attrs.define
class AnswerRecords:
    """Results of calls that may not be repeated, by id and idempotency key.

    The number of records and their total bytes are bounded; the oldest record
    is evicted first.

    Attributes:
        _incarnation: The incarnation of this process, which holds no record
            of what an earlier one ran.
        _gap_ends_at: When the last record that was evicted early would have
            expired, in monotonic seconds.
    """

    _incarnation: int = 0
    _records: dict[str, Record] = attrs.field(factory=dict)
    _total_bytes: int = 0
    _gap_ends_at: float = -math.inf

    def put(self, name: str, record: Record, now: float) -> None:
        """Store a record under a call's id or a key's name."""
        self._drop(name)
        self._records[name] = record
        self._total_bytes += record.octets
        self._evict(now)

    def get(self, name: str, now: float) -> Record | None:
        """Return the record of a call or key, or None if there is none."""
        record = self._records.get(name)
        return (
            record if record is not None and record.expires_at > now else None
        )

    def would_hold(self, query: QueryCall, now: float) -> bool:
        """Return whether the call in question has a record if it ended here."""
        return (
            query.incarnation == self._incarnation
            and query.age_ms < RECORD_TTL_S * _MS_PER_S
            and now >= self._gap_ends_at
        )

    def record_end(
        self, run: RunCall, message: AnswerHead | CallRefused | None, now: float
    ) -> None:
        """Store the result of a call, if the call may not be repeated."""
        if run.repeatable:
            return
        self.put(run.call, Record(message, now + RECORD_TTL_S), now)
        if run.key:
            record = Record(
                message, now + KEY_RECORD_TTL_S, request_fingerprint(run)
            )
            self.put(_key_name(run), record, now)

    def record_rerouted(self, run: RunCall, now: float) -> None:
        """Record that another target may run a call with a key."""
        first = self.get_by_key(run, now)
        if run.repeatable or not run.key or first is not None:
            return
        record = Record(
            None,
            now + KEY_RECORD_TTL_S,
            request_fingerprint(run),
            rerouted=True,
        )
        self.put(_key_name(run), record, now)

    def record_key_used(self, key: str, request: str, now: float) -> None:
        """Record that a call with a key may have run at another node."""
        name = f'{_KEY_PREFIX}{key}'
        if self.get(name, now) is None:
            self.put(name, Record(None, now + KEY_RECORD_TTL_S, request), now)

    def keys_used(self, now: float) -> list[tuple[str, str]]:
        """Return the recorded keys, each with its request's fingerprint."""
        return [
            (name.removeprefix(_KEY_PREFIX), record.request)
            for name, record in self._records.items()
            if name.startswith(_KEY_PREFIX) and record.expires_at > now
        ]

    def get_by_key(self, run: RunCall, now: float) -> Record | None:
        """Return the record of the first call with this call's key, or None."""
        return self.get(_key_name(run), now)

    def _drop(self, name: str) -> None:
        old = self._records.pop(name, None)
        if old is not None:
            self._total_bytes -= old.octets

    def _evict(self, now: float) -> None:
        while self._records and self._must_evict(now):
            name = next(iter(self._records))
            if not name.startswith(_KEY_PREFIX):
                expires_at = self._records[name].expires_at
                self._gap_ends_at = max(self._gap_ends_at, expires_at)
            self._drop(name)
        assert self._total_bytes >= 0

    def _must_evict(self, now: float) -> bool:
        oldest = next(iter(self._records.values()))
        return (
            oldest.expires_at <= now
            or len(self._records) > MAX_RECORDS
            or self._total_bytes > MAX_TOTAL_BYTES
        )


def request_fingerprint(run: RunCall) -> str:
    """Return the fingerprint that all copies of one request share."""
    return fingerprint(run.method, run.path, run.body)


def _key_name(run: RunCall) -> str:
    return f'{_KEY_PREFIX}{run.key}'
