"""Answers kept for a while, so that a lost one can be asked for again."""

import attrs

from daisyline.coordination.messages import AnswerHead, CallRefused, RunCall
from daisyline.coordination.quarantine import fingerprint

# Longer than an entry takes to find a broken stream and to ask, in seconds.
RECORD_S = 30
# How long a caller's own re-send under its idempotency key is answered, s.
KEY_RECORD_S = 600
MAX_RECORD_BYTES = 65_536
MAX_RECORDS = 4_096
MAX_TOTAL_BYTES = 4_194_304
_KEY_PREFIX = 'key:'


@attrs.frozen
class Record:
    """How a call ended.

    Attributes:
        message: The answer or refusal, or None if it is not kept whole.
        until: When it is dropped, in monotonic seconds.
        request: The fingerprint of what was asked, if it had a key.
        sent_on: Whether the call was refused here to be run elsewhere.
    """

    message: AnswerHead | CallRefused | None
    until: float
    request: str = ''
    sent_on: bool = False

    @property
    def octets(self) -> int:
        """Return the bytes of body that the record holds."""
        return (
            len(self.message.body)
            if isinstance(self.message, AnswerHead)
            else 0
        )


@attrs.define
class AnswerRecords:
    """Ends of calls that may not be repeated, by id and by idempotency key.

    Bounded in number and bytes; what must give way is the oldest.
    """

    _records: dict[str, Record] = attrs.field(factory=dict)
    _total_bytes: int = 0

    def put(self, name: str, record: Record, now: float) -> None:
        """Keep how a call ended."""
        self._drop(name)
        self._records[name] = record
        self._total_bytes += record.octets
        self._evict(now)

    def get(self, name: str, now: float) -> Record | None:
        """Return how a call ended, if that is still known."""
        record = self._records.get(name)
        return record if record is not None and record.until > now else None

    def keep(
        self, run: RunCall, message: AnswerHead | CallRefused | None, now: float
    ) -> None:
        """Keep how a call ended, if it may not be repeated."""
        if run.repeatable:
            return
        self.put(run.call, Record(message, now + RECORD_S), now)
        if run.key:
            record = Record(message, now + KEY_RECORD_S, request_of(run))
            self.put(_key_name(run), record, now)

    def note_sent_on(self, run: RunCall, now: float) -> None:
        """Note that a call under a key may have run elsewhere."""
        known = self.of_key(run, now)
        if run.repeatable or not run.key or known is not None:
            return
        record = Record(None, now + KEY_RECORD_S, request_of(run), sent_on=True)
        self.put(_key_name(run), record, now)

    def note_used(self, key: str, request: str, now: float) -> None:
        """Note that a call under a key may have run at another node."""
        name = f'{_KEY_PREFIX}{key}'
        if self.get(name, now) is None:
            self.put(name, Record(None, now + KEY_RECORD_S, request), now)

    def keys_used(self, now: float) -> list[tuple[str, str]]:
        """Return the keys that are known, each with its request."""
        return [
            (name.removeprefix(_KEY_PREFIX), record.request)
            for name, record in self._records.items()
            if name.startswith(_KEY_PREFIX) and record.until > now
        ]

    def of_key(self, run: RunCall, now: float) -> Record | None:
        """Return how the first call under a call's key ended, if known."""
        return self.get(_key_name(run), now)

    def _drop(self, name: str) -> None:
        old = self._records.pop(name, None)
        if old is not None:
            self._total_bytes -= old.octets

    def _evict(self, now: float) -> None:
        while self._records and self._is_over(now):
            self._drop(next(iter(self._records)))
        assert self._total_bytes >= 0

    def _is_over(self, now: float) -> bool:
        oldest = next(iter(self._records.values()))
        return (
            oldest.until <= now
            or len(self._records) > MAX_RECORDS
            or self._total_bytes > MAX_TOTAL_BYTES
        )


def request_of(run: RunCall) -> str:
    """Return what two sendings of one request have in common."""
    return fingerprint(run.method, run.path, run.body)


def _key_name(run: RunCall) -> str:
    return f'{_KEY_PREFIX}{run.key}'
