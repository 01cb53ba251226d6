"""Pings that have to be answered on every stream of a node.

After a pause of this process, messages that were sent before it may be unread
on any stream that a node has opened. They have been read once the node's
answer has come on that stream, or the stream has ended.
"""

import attrs

from daisyline.transport.stream import Stream


@attrs.define
class PingRound:
    """One ping to all streams of a node.

    Attributes:
        nonce: The nonce of the ping.
        unanswered: The streams that are still open and have not answered.
    """

    nonce: int
    unanswered: set[Stream]


@attrs.define
class PingRounds:
    """The latest round of each node, until it is complete."""

    _rounds: dict[str, PingRound] = attrs.field(factory=dict)

    def start(self, node: str, nonce: int, streams: list[Stream]) -> None:
        """Start a round; it replaces an earlier one."""
        self._rounds[node] = PingRound(nonce, set(streams))

    def is_incomplete(self, node: str, nonce: int) -> bool:
        """Return whether streams of a node still have to answer a ping."""
        latest = self._rounds.get(node)
        return latest is not None and latest.nonce == nonce

    def record_answer(self, stream: Stream, nonce: int) -> None:
        """Record that a ping was answered on a stream."""
        if self.is_incomplete(stream.peer, nonce):
            self.record_end(stream)

    def record_end(self, stream: Stream) -> int | None:
        """Record that a stream has answered or ended.

        Returns:
            The nonce of the round that this completes; None if there is none.
        """
        latest = self._rounds.get(stream.peer)
        if latest is None:
            return None
        latest.unanswered.discard(stream)
        if latest.unanswered:
            return None
        self._rounds.pop(stream.peer)
        return latest.nonce
