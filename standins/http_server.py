"""The HTTP server of the stand-ins."""

import json
from collections.abc import Callable, Mapping
from typing import Any

import h11

from daisyline.transport.listener import Listener
from daisyline.transport.loop import Loop
from daisyline.transport.sockets import Connection
from standins.http import HttpEndpoint, Message, encode


class Exchange(HttpEndpoint):
    """The server's end of an HTTP connection, with one request at a time.

    Attributes:
        request: The request that awaits its answer, if there is one.
        write_answer: Writes the bytes of an answer to the connection.
    """

    def __init__(self, connection: Connection, server: 'Server') -> None:
        """Begin to read requests from a connection."""
        super().__init__(connection, h11.Connection(h11.SERVER))
        self.request: Message | None = None
        self.write_answer: Callable[[bytes], None] = connection.write
        self._server = server

    def handle_message(self, message: Message) -> None:
        """Pass a complete request to the server."""
        self.request = message
        self._server.serve(self)

    def handle_eof(self) -> None:
        """Abort the connection, since a half-close cancels the call."""
        self.connection.abort()

    def handle_closed(self) -> None:
        """Report to the server that the connection is closed."""
        self._server.on_close(self)

    def answer(
        self,
        status: int,
        content: Any,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Answer the request with a JSON body.

        Does nothing if the connection is closed or no request is pending.
        """
        if not self.connection.is_open or self.request is None:
            return
        body = json.dumps(content).encode()
        all_headers = {
            'Content-Type': 'application/json',
            'Content-Length': str(len(body)),
            **(headers or {}),
        }
        head_only = self.request.method == 'HEAD'
        events = [
            h11.Response(status_code=status, headers=list(all_headers.items())),
            h11.Data(data=b'' if head_only else body),
            h11.EndOfMessage(),
        ]
        self.request = None
        self.write_answer(encode(self.codec, events))
        self._read_next()

    def _read_next(self) -> None:
        if self.codec.our_state is not h11.DONE:
            self.connection.close()
            return
        self.codec.start_next_cycle()
        self.process_events()


class Server:
    """Accepts connections and passes their requests to a function."""

    def __init__(
        self,
        on_request: Callable[[Exchange], None],
        on_open: Callable[[Exchange], None] | None = None,
        on_close: Callable[[Exchange], None] | None = None,
    ) -> None:
        """Set the functions to call; nothing listens yet."""
        self.serve = on_request
        self.on_open = on_open or _ignore
        self.on_close = on_close or _ignore
        self.listener: Listener | None = None

    def listen(self, loop: Loop, host: str, port: int) -> 'Server':
        """Begin to accept connections."""
        self.listener = Listener.open(loop, host, port, self._accept)
        return self

    def _accept(self, connection: Connection) -> None:
        self.on_open(Exchange(connection, self))


def _ignore(_exchange: Exchange) -> None:
    """Do nothing."""
