"""HTTP/1.1 connections of the stand-ins, over h11 and the product's sockets.

The stand-ins use h11 itself and not the product's codec: that one drops the
`Daisyline-` headers that targets and callers have to see, and a mistake in it
would show on neither side if both ends shared it.
"""

import functools
import json
from collections.abc import Mapping
from typing import Any

import attrs
import h11

from daisyline.transport.sockets import Connection


@attrs.frozen(eq=False)
class Message:
    """A whole request or answer.

    Attributes:
        method: The request's method; empty for an answer.
        path: The request's target; empty for an answer.
        status: The answer's status; 0 for a request.
        headers: The headers by lower-case name.
        body: The whole body.
    """

    method: str = ''
    path: str = ''
    status: int = 0
    headers: Mapping[str, str] = attrs.field(factory=dict)
    body: bytes = b''

    @classmethod
    def post_json(cls, path: str, content: Any) -> 'Message':
        """Build a POST request with a JSON body."""
        headers = {'Content-Type': 'application/json'}
        body = json.dumps(content).encode()
        return cls('POST', path, headers=headers, body=body)

    def json(self) -> Any:
        """Return the body as JSON, or `None` if it is none."""
        try:
            return json.loads(self.body)
        except ValueError:
            return None


@attrs.frozen
class LostCall:
    """A call that got no whole answer.

    Attributes:
        sent: Whether the request was handed to the kernel.
        begun: Whether a part of the answer came.
    """

    sent: bool
    answer_begun: bool = False


class HttpEndpoint:
    """One end of a connection: bytes in, whole messages out."""

    def __init__(self, connection: Connection, codec: h11.Connection) -> None:
        """Start to take what the connection brings."""
        self.connection = connection
        self.codec = codec
        self._head: h11.Request | h11.Response | None = None
        self._body: list[bytes] = []
        connection.handler = self

    @property
    def is_receiving(self) -> bool:
        """Return whether the head of a message has come, but not its end."""
        return self._head is not None

    def handle_connected(self) -> None:
        """Note that a dialled connection is made."""

    def handle_drained(self) -> None:
        """Note that everything written was handed to the kernel."""

    def handle_bytes(self, octets: bytes) -> None:
        """Take bytes that arrived."""
        self.codec.receive_data(octets)
        self.process_events()

    def handle_eof(self) -> None:
        """Note that the other end sends no more."""
        self.connection.abort()

    def handle_closed(self) -> None:
        """Note that the connection is gone."""

    def handle_message(self, message: Message) -> None:
        """Take a whole message."""

    def process_events(self) -> None:
        """Take whole messages as far as the bytes go."""
        while self.connection.is_open:
            try:
                event = self.codec.next_event()
            except h11.RemoteProtocolError:
                self.connection.abort()
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            _handle_event(event, self)

    def begin_message(self, head: h11.Request | h11.Response) -> None:
        """Take the head of a message."""
        self._head = head
        self._body = []

    def add_body(self, octets: bytes) -> None:
        """Take a part of a message's body."""
        self._body.append(octets)

    def end_message(self) -> None:
        """Take the end of a message."""
        head = self._head
        assert head is not None
        self._head = None
        self.handle_message(_message_from(head, b''.join(self._body)))


@functools.singledispatch
def _handle_event(event: object, endpoint: HttpEndpoint) -> None:
    """Take one event of h11; others than these say nothing new."""
    endpoint.connection.abort()


@_handle_event.register
def _(event: h11.InformationalResponse, endpoint: HttpEndpoint) -> None:
    """Pass over a `100 Continue`."""


@_handle_event.register
def _(event: h11.Request, endpoint: HttpEndpoint) -> None:
    endpoint.begin_message(event)


@_handle_event.register
def _(event: h11.Response, endpoint: HttpEndpoint) -> None:
    endpoint.begin_message(event)


@_handle_event.register
def _(event: h11.Data, endpoint: HttpEndpoint) -> None:
    endpoint.add_body(bytes(event.data))


@_handle_event.register
def _(event: h11.EndOfMessage, endpoint: HttpEndpoint) -> None:
    endpoint.end_message()


@functools.singledispatch
def _message_from(head: object, body: bytes) -> Message:
    """Build a message from its head and its body."""
    raise TypeError(f'{head!r} is no head')


@_message_from.register
def _(head: h11.Request, body: bytes) -> Message:
    return Message(
        method=head.method.decode(),
        path=head.target.decode(),
        headers=_headers_from(head),
        body=body,
    )


@_message_from.register
def _(head: h11.Response, body: bytes) -> Message:
    return Message(
        status=head.status_code, headers=_headers_from(head), body=body
    )


def _headers_from(head: h11.Request | h11.Response) -> dict[str, str]:
    return {
        name.decode(): content.decode('latin-1')
        for name, content in head.headers
    }


def encode(codec: h11.Connection, events: list[h11.Event]) -> bytes:
    """Return the bytes of events that are sent together."""
    return b''.join(codec.send(event) or b'' for event in events)
