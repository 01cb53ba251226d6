"""A client for the platform's object API; each call has a timeout."""

import functools
from collections.abc import Callable
from typing import Any

from daisyline.coordination.calls.messages import Headers
from daisyline.coordination.effects import PlatformWatch
from daisyline.protocol import platform as object_api
from daisyline.protocol.front_end import PlatformCodec
from daisyline.protocol.http_client import ClientCodec
from daisyline.protocol.http_messages import BrokenAnswer, End, Head, Part
from daisyline.protocol.platform import NO_ANSWER_STATUS, PlatformCall
from daisyline.transport.loop import Loop
from daisyline.transport.sockets import Connection

_ANSWER_TIMEOUT_S = 3.0
# One object has at most 1 MiB; a list of objects can be longer.
_MAX_ANSWER_BYTES = 16_777_216
_MS_PER_S = 1000


class _PlatformExchange:
    """One call on the platform, on its own connection."""

    def __init__(
        self,
        loop: Loop,
        connection: Connection,
        effect: PlatformCall,
        codec: PlatformCodec,
    ) -> None:
        """Start the timeout of the call; `send` writes the request."""
        self._platform_codec = codec
        self._connection = connection
        self._effect = effect
        self._codec = ClientCodec()
        self._status = NO_ANSWER_STATUS
        self._headers: Headers = ()
        self._body = bytearray()
        self.on_reply: Callable[[Any], None] = bool
        connection.handler = self
        wait_s = _ANSWER_TIMEOUT_S
        if isinstance(effect, PlatformWatch):
            wait_s += effect.wait_ms / _MS_PER_S
        self._timeout = loop.call_later(wait_s, connection.abort)

    def send(self, host: str) -> None:
        """Write the request."""
        request = self._platform_codec.encode_request(self._effect, host)
        self._connection.write(self._codec.request(request))

    def handle_connected(self) -> None:
        """Do nothing; the request is already buffered."""

    def handle_bytes(self, octets: bytes) -> None:
        """Parse a part of the answer."""
        self._codec.feed(octets)
        event = self._codec.next_event()
        while isinstance(event, (Head, Part)):
            if isinstance(event, Head):
                self._status = event.status
                self._headers = event.headers
            else:
                self._body += event.body
            event = self._codec.next_event()
        if isinstance(event, End):
            self._reply(self._status)
        elif (
            isinstance(event, BrokenAnswer)
            or len(self._body) > _MAX_ANSWER_BYTES
        ):
            self._connection.abort()

    def handle_eof(self) -> None:
        """End an answer that is delimited by the close, if it is complete."""
        self.handle_bytes(b'')
        self._connection.abort()

    def handle_drained(self) -> None:
        """Do nothing; requests are small."""

    def drop(self) -> None:
        """Give the call up; it is reported as one without an answer."""
        self._connection.abort()

    def handle_closed(self) -> None:
        """Report that no answer came; the call may still have taken effect."""
        self._timeout.cancel()
        self._reply(NO_ANSWER_STATUS)

    def _reply(self, status: int) -> None:
        on_reply = self.on_reply
        self.on_reply = bool
        # An incomplete answer is discarded, but what its head says is true.
        body = b'' if status == NO_ANSWER_STATUS else bytes(self._body)
        self._connection.abort()
        on_reply(
            self._platform_codec.decode_reply(
                self._effect, status, body, self._headers
            )
        )


class PlatformClient:
    """Performs the effects that call the platform."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        on_event: Callable[[Any], None],
        codec: PlatformCodec = object_api,
    ) -> None:
        """Set the platform's address and its codec."""
        self._platform_codec = codec
        self._loop = loop
        self._address = address
        self._on_event = on_event
        self._exchanges: set[_PlatformExchange] = set()
        self.call_count = 0

    def set_endpoint(
        self, address: tuple[str, int], codec: PlatformCodec
    ) -> None:
        """Use another address and codec for further calls."""
        self._address = address
        self._platform_codec = codec

    def call(self, effect: PlatformCall) -> None:
        """Start a call; exactly one `PlatformReply` follows."""
        self.call_count += 1
        host, port = self._address
        try:
            connection = Connection.dial(self._loop, host, port)
        except OSError:
            # The process has no file descriptor left.
            reply = self._platform_codec.decode_reply(
                effect, NO_ANSWER_STATUS, b''
            )
            self._loop.defer(lambda: self._on_event(reply))
            return
        exchange = _PlatformExchange(
            self._loop, connection, effect, self._platform_codec
        )
        exchange.on_reply = functools.partial(self._end_call, exchange)
        self._exchanges.add(exchange)
        exchange.send(f'{host}:{port}')

    def drop_calls(self) -> None:
        """Give up all calls that have no answer yet.

        Their replies follow after the event that is being handled.
        """
        for exchange in self._exchanges:
            self._loop.defer(exchange.drop)

    def _end_call(self, exchange: _PlatformExchange, reply: Any) -> None:
        self._exchanges.discard(exchange)
        self._on_event(reply)
