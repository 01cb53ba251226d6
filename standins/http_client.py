"""The client's side of the stand-ins' HTTP."""

from collections.abc import Callable

import h11

from daisyline.transport.loop import Loop
from daisyline.transport.sockets import Connection
from standins.http import HttpEndpoint, LostCall, Message, encode


class Client(HttpEndpoint):
    """A client's end of a connection: one call at a time.

    Attributes:
        busy: Whether a call waits for its answer.
        calls: Calls begun on this connection.
    """

    def __init__(self, connection: Connection) -> None:
        """Start with a connection that is being made."""
        super().__init__(connection, h11.Connection(h11.CLIENT))
        self.is_busy = False
        self.calls = 0
        self.on_open: Callable[[], None] | None = None
        self._on_end: Callable[[Message | LostCall], None] | None = None

    @classmethod
    def dial(cls, loop: Loop, host: str, port: int) -> 'Client':
        """Begin to connect."""
        return cls(Connection.dial(loop, host, port))

    @property
    def is_usable(self) -> bool:
        """Return whether a call may be sent."""
        return self.connection.is_open and not self.is_busy

    def handle_connected(self) -> None:
        """Tell who waits for it that the connection is made."""
        if self.on_open is not None:
            self.on_open()

    def call(
        self, request: Message, on_end: Callable[[Message | LostCall], None]
    ) -> None:
        """Send a request; `on_end` hears its answer or its loss, once."""
        assert self.is_usable
        self.is_busy = True
        self.calls += 1
        self._on_end = on_end
        headers = {'Host': 'standin', **request.headers}
        if request.body or request.method in {'POST', 'PUT'}:
            headers['Content-Length'] = str(len(request.body))
        events = [
            h11.Request(
                method=request.method,
                target=request.path,
                headers=list(headers.items()),
            ),
            h11.Data(data=request.body),
            h11.EndOfMessage(),
        ]
        self.connection.write(encode(self.codec, events))

    def handle_message(self, message: Message) -> None:
        """Hand the answer over and make ready for the next call."""
        on_end = self._on_end
        self._on_end = None
        states = (self.codec.our_state, self.codec.their_state)
        if states == (h11.DONE, h11.DONE):
            self.codec.start_next_cycle()
        else:
            self.connection.abort()
        self.is_busy = False
        if on_end is not None:
            on_end(message)

    def handle_eof(self) -> None:
        """Finish an answer that ends with the connection."""
        self.codec.receive_data(b'')
        self.process_events()
        self.connection.abort()

    def handle_closed(self) -> None:
        """Report a call that got no whole answer."""
        sent = not self.connection.is_connecting
        on_end = self._on_end
        self._on_end = None
        if on_end is not None:
            on_end(LostCall(sent=sent, answer_begun=self.is_receiving))


class ClientPool:
    """Keeps idle connections to one address and calls over them."""

    def __init__(self, loop: Loop, host: str, port: int) -> None:
        """Start without connections."""
        self._loop = loop
        self._address = (host, port)
        self._idle: list[Client] = []

    @property
    def idle(self) -> int:
        """Return how many connections are idle."""
        return len(self._idle)

    def call(
        self, request: Message, on_end: Callable[[Message | LostCall], None]
    ) -> Client:
        """Send a request over an idle connection, or over a new one.

        Returns:
            The connection that carries the call; aborting it cancels.
        """
        client = self._pick_client()

        def ended(ending: Message | LostCall) -> None:
            if client.is_usable:
                self._idle.append(client)
            on_end(ending)

        client.call(request, ended)
        return client

    def close(self) -> None:
        """Close the idle connections."""
        for client in self._idle:
            client.connection.abort()
        self._idle.clear()

    def _pick_client(self) -> Client:
        while self._idle:
            client = self._idle.pop()
            if client.is_usable:
                return client
        return Client.dial(self._loop, *self._address)
