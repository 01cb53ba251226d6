"""Decides by its key which customer a request is from."""

import enum
from collections import Counter
from collections.abc import Sequence

import attrs

from daisyline.coordination import events as log
from daisyline.state.customers import Customer, CustomerTable, hash_key

# Anyone can send requests with wrong keys, so the lines about them must not
# displace those about other calls.
MAX_LINES_PER_S = 5
_SCHEME = b'bearer'


class Cause(enum.StrEnum):
    """Why a request is refused because of its key."""

    MISSING = 'missing'
    MALFORMED = 'malformed'
    UNKNOWN = 'unknown'


@attrs.frozen
class KeyRefusal:
    """A request that needs a key does not carry a valid one.

    Attributes:
        cause: What is wrong.
        key_hash: The hash of the key; empty unless the key is unknown.
    """

    cause: Cause
    key_hash: str = ''


@attrs.frozen
class RequestUnauthorized:
    """A request was received without a valid key.

    Attributes:
        call: The new id of the call.
        refusal: Why it is refused.
    """

    call: str
    refusal: KeyRefusal


def identify(
    credentials: Sequence[bytes], customers: CustomerTable, *, is_exempt: bool
) -> Customer | KeyRefusal | None:
    """Return the customer that a request is from.

    Args:
        credentials: The contents of all headers that may carry the key, each
            of the form `Bearer KEY`.
        customers: The customers of the settings in force.
        is_exempt: Whether the request needs no key.

    Returns:
        The customer; None if the customers have no keys, or if the request
        needs no key and carries no known one; else why it is refused.
    """
    if not customers.requires_keys:
        return None
    found = _find(credentials, customers)
    return None if is_exempt and isinstance(found, KeyRefusal) else found


def _find(
    credentials: Sequence[bytes], customers: CustomerTable
) -> Customer | KeyRefusal:
    if not credentials:
        return KeyRefusal(Cause.MISSING)
    scheme, _, rest = credentials[0].strip().partition(b' ')
    key = rest.strip()
    # Of two keys it is not clear which one counts, so neither does.
    if len(credentials) > 1 or scheme.lower() != _SCHEME or not key:
        return KeyRefusal(Cause.MALFORMED)
    key_hash = hash_key(key)
    return customers.find(key_hash) or KeyRefusal(Cause.UNKNOWN, key_hash)


@attrs.define
class KeyRefusals:
    """Counts refusals because of keys, and bounds their log lines."""

    _counts: Counter[Cause] = attrs.field(factory=Counter)
    _second: int = 0
    _lines_left: int = 0
    _left_out: int = 0

    def count(self, cause: Cause) -> int:
        """Return how many requests were refused for a cause."""
        return self._counts[cause]

    def record(
        self, event: RequestUnauthorized, settings_version: int, now: float
    ) -> log.KeyRefused | None:
        """Count a refusal; return its log line unless there are too many.

        Args:
            event: The refused request.
            settings_version: The version of the settings in force.
            now: Monotonic seconds.
        """
        self._counts[event.refusal.cause] += 1
        if int(now) != self._second:
            self._second = int(now)
            self._lines_left = MAX_LINES_PER_S
        if not self._lines_left:
            self._left_out += 1
            return None
        self._lines_left -= 1
        left_out = self._left_out
        self._left_out = 0
        return log.KeyRefused(
            at=now,
            call=event.call,
            cause=event.refusal.cause,
            key_hash=event.refusal.key_hash,
            settings_version=settings_version,
            left_out=left_out,
        )
