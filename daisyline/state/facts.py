"""Facts: small values that only grow and that spread to every node."""

from typing import Any

import attrs

DEFAULT_TTL_MS = 600_000


def _payload_from(fields: Any) -> tuple[Any, ...]:
    return tuple(fields)


@attrs.frozen
class Fact:
    """A value that nodes merge without agreeing on an order.

    Of two facts with one kind and name, the one with the larger `rank` holds;
    merging is idempotent, associative and commutative.

    Attributes:
        kind: What sort of fact it is, as `verdict` or `quarantine`.
        name: What it is about, unique in its kind.
        rank: Orders facts of one kind and name; larger wins. Ties are broken
            by the payload, so that every node keeps the same one.
        payload: Numbers and short strings.
        ttl_ms: How long a node keeps it after first hearing of it.
    """

    kind: str = attrs.field(validator=attrs.validators.instance_of(str))
    name: str = attrs.field(validator=attrs.validators.instance_of(str))
    rank: int = attrs.field(validator=attrs.validators.instance_of(int))
    payload: tuple[Any, ...] = attrs.field(default=(), converter=_payload_from)
    ttl_ms: int = attrs.field(
        default=DEFAULT_TTL_MS, validator=attrs.validators.instance_of(int)
    )

    @property
    def key(self) -> tuple[str, str]:
        """Return what the fact is about."""
        return (self.kind, self.name)

    def supersedes(self, other: 'Fact') -> bool:
        """Return whether this fact takes the other's place."""
        if self.rank != other.rank:
            return self.rank > other.rank
        return repr(self.payload) > repr(other.payload)
