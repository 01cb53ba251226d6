"""The HTTP client of the stand-ins."""

from collections.abc import Callable

import h11

from daisyline.transport.loop import Loop
from daisyline.transport.sockets import Connection
from standins.http import HttpEndpoint, LostCall, Message, encode


class Client(HttpEndpoint):
    """The client's end of an HTTP connection, with one call at a time.

    Attributes:
        is_busy: Whether a call awaits its answer.
        calls: The number of calls begun on this connection.
        on_open: Called when the connection is established.
    """

    def __init__(self, connection: Connection) -> None:
        """Use a connection that is open or being opened."""
        super().__init__(connection, h11.Connection(h11.CLIENT))
        self.is_busy = False
        self.calls = 0
        self.on_open: Callable[[], None] | None = None
        self._on_end: Callable[[Message | LostCall], None] | None = None

    @classmethod
    def dial(cls, loop: Loop, host: str, port: int) -> 'Client':
        """Begin to connect; calls may be sent at once."""
        return cls(Connection.dial(loop, host, port))

    @property
    def is_usable(self) -> bool:
        """Return whether the connection is open and without a call."""
        return self.connection.is_open and not self.is_busy

    def handle_connected(self) -> None:
        """Call `on_open`, if it is set."""
        if self.on_open is not None:
            self.on_open()

    def call(
        self, request: Message, on_end: Callable[[Message | LostCall], None]
    ) -> None:
        """Send a request; `on_end` is called once with its answer or loss."""
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
        """Prepare for the next call, then report the answer."""
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
        """Complete an answer whose body ends with the connection."""
        self.codec.receive_data(b'')
        self.process_events()
        self.connection.abort()

    def handle_closed(self) -> None:
        """Report the loss of a call without a complete answer."""
        sent = not self.connection.is_connecting
        on_end = self._on_end
        self._on_end = None
        if on_end is not None:
            on_end(LostCall(sent=sent, answer_begun=self.is_receiving))


class ClientPool:
    """Makes calls to one address over connections that it reuses."""

    def __init__(self, loop: Loop, host: str, port: int) -> None:
        """Start without connections."""
        self._loop = loop
        self._address = (host, port)
        self._idle: list[Client] = []

    @property
    def idle(self) -> int:
        """Return the number of idle connections."""
        return len(self._idle)

    def call(
        self, request: Message, on_end: Callable[[Message | LostCall], None]
    ) -> Client:
        """Send a request over an idle connection, or over a new one.

        Returns:
            The connection of the call; aborting it cancels the call.
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
