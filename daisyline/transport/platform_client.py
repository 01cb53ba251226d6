"""Calls on the platform's object API, each bounded in time."""

from collections.abc import Callable
from typing import Any

from daisyline.coordination.effects import PlatformWatch
from daisyline.protocol import platform as object_api
from daisyline.protocol.front_end import PlatformCodec
from daisyline.protocol.http_client import ClientCodec
from daisyline.protocol.http_messages import BrokenAnswer, End, Head, Part
from daisyline.protocol.platform import NO_ANSWER_STATUS, PlatformCall
from daisyline.transport.loop import Loop
from daisyline.transport.sockets import Connection

_ANSWER_S = 3.0
# A list of objects is longer than one of them, which has 1 MiB at most.
_MAX_ANSWER_BYTES = 16_777_216
_MS_PER_S = 1000


class _PlatformExchange:
    """One call on the platform, on a connection of its own."""

    def __init__(
        self,
        loop: Loop,
        connection: Connection,
        effect: PlatformCall,
        store: PlatformCodec,
    ) -> None:
        """Send the call once the connection is made."""
        self._store = store
        self._connection = connection
        self._effect = effect
        self._codec = ClientCodec()
        self._status = NO_ANSWER_STATUS
        self._body = bytearray()
        self.on_reply: Callable[[Any], None] = bool
        connection.handler = self
        wait_s = _ANSWER_S
        if isinstance(effect, PlatformWatch):
            wait_s += effect.wait_ms / _MS_PER_S
        self._timeout = loop.call_later(wait_s, connection.abort)

    def send(self, host: str) -> None:
        """Write the request."""
        request = self._store.encode_request(self._effect, host)
        self._connection.write(self._codec.request(request))

    def handle_connected(self) -> None:
        """Do nothing; the request is already buffered."""

    def handle_bytes(self, octets: bytes) -> None:
        """Take a part of the answer."""
        self._codec.feed(octets)
        event = self._codec.next_event()
        while isinstance(event, (Head, Part)):
            if isinstance(event, Head):
                self._status = event.status
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
        """Let the codec judge whether an answer ended by closing is whole."""
        self.handle_bytes(b'')
        self._connection.abort()

    def handle_drained(self) -> None:
        """Do nothing; requests are small."""

    def handle_closed(self) -> None:
        """Report that the answer was lost; the call may have taken effect."""
        self._timeout.cancel()
        self._reply(NO_ANSWER_STATUS)

    def _reply(self, status: int) -> None:
        on_reply = self.on_reply
        self.on_reply = bool
        # What came of an answer that isn't whole says nothing.
        body = b'' if status == NO_ANSWER_STATUS else bytes(self._body)
        self._connection.abort()
        on_reply(self._store.decode_reply(self._effect, status, body))


class PlatformClient:
    """Carries out the effects that concern the platform."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        on_event: Callable[[Any], None],
        store: PlatformCodec = object_api,
    ) -> None:
        """Remember where the platform is and how it is spoken to."""
        self._store = store
        self._loop = loop
        self._address = address
        self._on_event = on_event
        self.calls = 0

    def set_endpoint(
        self, address: tuple[str, int], store: PlatformCodec
    ) -> None:
        """Make further calls elsewhere, or in another way."""
        self._address = address
        self._store = store

    def call(self, effect: PlatformCall) -> None:
        """Make a call; a `PlatformReply` follows in any case."""
        self.calls += 1
        host, port = self._address
        try:
            connection = Connection.dial(self._loop, host, port)
        except OSError:
            # The process has no descriptor left.
            lost = self._store.decode_reply(effect, NO_ANSWER_STATUS, b'')
            self._loop.defer(lambda: self._on_event(lost))
            return
        exchange = _PlatformExchange(
            self._loop, connection, effect, self._store
        )
        exchange.on_reply = self._on_event
        exchange.send(f'{host}:{port}')
