"""Bounds how many bodies in tiny chunks a node decodes at a time."""

from collections.abc import Hashable

import attrs

# A chunk takes some 15 us to decode. A single body in tiny chunks only takes
# turns with other connections; the turns of many would delay every caller.
MAX_COSTLY_BODIES = 4


@attrs.define
class CostlyBodies:
    """The bodies whose chunks carry little payload, by their owners."""

    _chunks: dict[Hashable, int] = attrs.field(factory=dict)

    def record(self, owner: Hashable, chunks: int) -> Hashable | None:
        """Record a costly body; return the owner whose body is refused, if any.

        That is the one whose body has taken the most chunks so far.

        Args:
            owner: The connection that receives the body.
            chunks: How many chunks of the body were decoded.
        """
        self._chunks[owner] = chunks
        if len(self._chunks) <= MAX_COSTLY_BODIES:
            return None
        refused = max(self._chunks, key=self._chunks.__getitem__)
        self.forget(refused)
        return refused

    def forget(self, owner: Hashable) -> None:
        """Forget the body of a connection, which is complete or refused."""
        self._chunks.pop(owner, None)
