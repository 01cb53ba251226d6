"""Pings that have to be answered on every stream of a node.

After a pause of this process, messages that were sent before it may be unread
on any stream that a node has opened. They have been read once the node's
answer has come on that stream, or the stream has ended.
"""

import attrs

from daisyline.coordination.calls.messages import Ping
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

    def start(self, node: str, ping: Ping, streams: list[Stream]) -> None:
        """Ping a node on streams; this replaces an earlier round."""
        if streams:
            self._rounds[node] = PingRound(ping.nonce, set(streams))
        for stream in streams:
            stream.send(ping)

    def record_answer(self, stream: Stream, nonce: int) -> bool:
        """Record an answer to a ping.

        Returns:
            Whether no other stream of the node still has to answer the ping.
        """
        if self._is_incomplete(stream.peer, nonce):
            self.record_end(stream)
        return not self._is_incomplete(stream.peer, nonce)

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

    def _is_incomplete(self, node: str, nonce: int) -> bool:
        latest = self._rounds.get(node)
        return latest is not None and latest.nonce == nonce
