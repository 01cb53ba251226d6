"""Quarantine: stop a request that crashes each target that runs it."""

import hashlib
from collections.abc import Sequence

import attrs

from daisyline.coordination.fact_events import FactChanged, PutFact

FACT_KIND = 'quarantine'
_DIGEST_BYTES = 16
_LENGTH_BYTES = 8


def fingerprint(method: bytes, path: bytes, body: bytes) -> str:
    """Return what two sendings of one request have in common."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (method, path, body):
        digest.update(len(part).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(part)
    return digest.hexdigest()


@attrs.define
class Quarantine:
    """Counts the crashes of each request over the whole fleet."""

    @classmethod
    def from_config(cls) -> 'Quarantine':
        """Build an empty quarantine."""
        return cls()

    def crashed(
        self, in_flight: Sequence[str], target: str, now: float
    ) -> list[PutFact]:
        """Take note that a target crashed while it ran these requests."""
        return []

    def succeeded(self, request: str, now: float) -> None:
        """Take note that a target ran a request to its end."""

    def blocked(self, request: str, now: float) -> bool:
        """Return whether a request is refused everywhere."""
        return False

    def must_run_alone(self, request: str, now: float) -> bool:
        """Return whether a request may only run with no other beside it."""
        return False

    def handle(self, event: FactChanged) -> None:
        """Take in a fact from another node."""
