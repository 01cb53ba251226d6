"""Facts: small ranked values that gossip spreads to every node."""

from typing import Any

import attrs

DEFAULT_TTL_MS = 600_000
# For facts that hold until another one replaces them: ten years.
LASTING_TTL_MS = 315_360_000_000


def _to_payload(fields: Any) -> tuple[Any, ...]:
    return tuple(fields)


@attrs.frozen
class Fact:
    """A value that nodes can merge in any order.

    Of two facts with the same kind and name, the one with the larger `rank`
    is kept. Merging is idempotent, associative and commutative.

    Attributes:
        kind: The kind of the fact, for example `rollout` or `quarantine`.
        name: The subject of the fact, unique within its kind.
        rank: Orders facts of one kind and name; the larger rank is kept. Ties
            are broken by the payload, so that every node keeps the same fact.
        payload: Numbers and short strings.
        ttl_ms: How long a node keeps the fact after it first received it, in
            milliseconds.
    """

    kind: str = attrs.field(validator=attrs.validators.instance_of(str))
    name: str = attrs.field(validator=attrs.validators.instance_of(str))
    rank: int = attrs.field(validator=attrs.validators.instance_of(int))
    payload: tuple[Any, ...] = attrs.field(default=(), converter=_to_payload)
    ttl_ms: int = attrs.field(
        default=DEFAULT_TTL_MS, validator=attrs.validators.instance_of(int)
    )

    @property
    def key(self) -> tuple[str, str]:
        """Return the kind and name, by which facts are merged."""
        return (self.kind, self.name)

    def supersedes(self, other: 'Fact') -> bool:
        """Return whether this fact replaces another of the same key."""
        if self.rank != other.rank:
            return self.rank > other.rank
        return repr(self.payload) > repr(other.payload)
