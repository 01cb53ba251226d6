"""A client for the calls that one node at a time makes on the platform."""

import time
from collections.abc import Callable
from typing import Any

from daisyline.coordination.duties.duty_events import ReportUsage, UsageReply
from daisyline.protocol.front_end import DutyCodec
from daisyline.protocol.http_client import ClientCodec
from daisyline.protocol.http_messages import BrokenAnswer, Head
from daisyline.protocol.platform import NO_ANSWER_STATUS
from daisyline.transport.loop import Loop
from daisyline.transport.sockets import Connection

_ANSWER_TIMEOUT_S = 2.0


class _DutyExchange:
    """One call, on its own connection.

    The request is written when the connection is established, if the holder
    may still act then: connecting can take longer than the lease.
    """

    def __init__(
        self,
        loop: Loop,
        connection: Connection,
        effect: ReportUsage,
        codec: DutyCodec,
        host: str,
    ) -> None:
        """Start the timeout of the call."""
        self._loop = loop
        self._connection = connection
        self._effect = effect
        self._duty_codec = codec
        self._host = host
        self._codec = ClientCodec()
        self.is_sent = False
        self.on_reply: Callable[[UsageReply], None] = bool
        connection.handler = self
        self._timeout = loop.call_later(_ANSWER_TIMEOUT_S, connection.abort)

    def handle_connected(self) -> None:
        """Send the request, unless the holder's lease has ended."""
        is_late = (
            self._loop.now() >= self._effect.expires_at
            or time.time() >= self._effect.expires_wall
        )
        if is_late:
            self._connection.abort()
            return
        self.is_sent = True
        request = self._duty_codec.encode_request(self._effect, self._host)
        self._connection.write(self._codec.request(request))

    def handle_bytes(self, octets: bytes) -> None:
        """Report the status as soon as the head of the answer is there."""
        self._codec.feed(octets)
        event = self._codec.next_event()
        if isinstance(event, Head):
            self._reply(event.status, event.header(b'retry-after') or b'')
        elif isinstance(event, BrokenAnswer):
            self._connection.abort()

    def handle_eof(self) -> None:
        """Treat an answer that ends before its head as none."""
        self._connection.abort()

    def handle_drained(self) -> None:
        """Do nothing; the whole request is written at once."""

    def handle_closed(self) -> None:
        """Report that no answer came; the call may still be executed."""
        self._reply(NO_ANSWER_STATUS, b'')

    def drop(self) -> None:
        """Give up the call if its request is not written yet."""
        if not self.is_sent:
            self._connection.abort()

    def _reply(self, status: int, retry_after: bytes) -> None:
        on_reply = self.on_reply
        self.on_reply = bool
        self._timeout.cancel()
        self._connection.abort()
        on_reply(
            self._duty_codec.decode_reply(self._effect, status, retry_after)
        )


class DutyClient:
    """Performs the effects that report usage."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        on_event: Callable[[Any], None],
        codec: DutyCodec,
    ) -> None:
        """Set the address for the calls and their codec."""
        self._loop = loop
        self._address = address
        self._on_event = on_event
        self._codec = codec
        self._exchange: _DutyExchange | None = None

    def use_address(self, address: tuple[str, int]) -> None:
        """Use another address for further calls."""
        self._address = address

    def call(self, effect: ReportUsage) -> None:
        """Start a call; exactly one `UsageReply` follows."""
        host, port = self._address
        try:
            connection = Connection.dial(self._loop, host, port)
        except OSError:
            # The process has no file descriptor left.
            reply = UsageReply(effect.call, NO_ANSWER_STATUS)
            self._loop.defer(lambda: self._on_event(reply))
            return
        exchange = _DutyExchange(
            self._loop, connection, effect, self._codec, f'{host}:{port}'
        )
        exchange.on_reply = self._on_event
        self._exchange = exchange

    def drop_unsent(self) -> None:
        """Give up the call that waits for its connection, if there is one."""
        if self._exchange is not None:
            self._exchange.drop()
