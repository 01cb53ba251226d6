"""HTTP/1.1 connections of the stand-ins, over h11 and the product's sockets.

The stand-ins use h11 directly and not the product's codec. The codec removes
the `Daisyline-` headers that targets and callers need, and tests would not
detect a fault in it if both ends of a connection shared it.
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
    """A complete request or answer.

    Attributes:
        method: The request's method; empty for an answer.
        path: The request's target; empty for an answer.
        status: The answer's status; 0 for a request.
        headers: The headers by lower-case name.
        body: The complete body.
    """

    method: str = ''
    path: str = ''
    status: int = 0
    headers: Mapping[str, str] = attrs.field(factory=dict)
    body: bytes = b''

    @classmethod
    def post_json(cls, path: str, content: Any) -> 'Message':
        """Return a POST request with a JSON body."""
        headers = {'Content-Type': 'application/json'}
        body = json.dumps(content).encode()
        return cls('POST', path, headers=headers, body=body)

    def json(self) -> Any:
        """Return the decoded JSON body, or `None` if it is not JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return None


@attrs.frozen
class LostCall:
    """A call without a complete answer.

    Attributes:
        sent: Whether the connection was made, so that the request may have
            been sent.
        answer_begun: Whether the head of the answer was received.
    """

    sent: bool
    answer_begun: bool = False


class HttpEndpoint:
    """One end of an HTTP connection, which assembles messages from bytes."""

    def __init__(self, connection: Connection, codec: h11.Connection) -> None:
        """Become the handler of a connection."""
        self.connection = connection
        self.codec = codec
        self._head: h11.Request | h11.Response | None = None
        self._body: list[bytes] = []
        connection.handler = self

    @property
    def is_receiving(self) -> bool:
        """Return whether a message has been received in part."""
        return self._head is not None

    def handle_connected(self) -> None:
        """Handle that a dialled connection is established."""

    def handle_drained(self) -> None:
        """Handle that everything written was passed to the kernel."""

    def handle_bytes(self, octets: bytes) -> None:
        """Handle received bytes."""
        self.codec.receive_data(octets)
        self.process_events()

    def handle_eof(self) -> None:
        """Handle that the other end sends no more, by an abort."""
        self.connection.abort()

    def handle_closed(self) -> None:
        """Handle that the connection is closed."""

    def handle_message(self, message: Message) -> None:
        """Handle a complete message."""

    def process_events(self) -> None:
        """Process the events that the received bytes give."""
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
        """Begin a message with its head."""
        self._head = head
        self._body = []

    def add_body(self, octets: bytes) -> None:
        """Add a part of the body of the message."""
        self._body.append(octets)

    def end_message(self) -> None:
        """Complete the message and handle it."""
        head = self._head
        assert head is not None
        self._head = None
        self.handle_message(_message_from(head, b''.join(self._body)))


@functools.singledispatch
def _handle_event(event: object, endpoint: HttpEndpoint) -> None:
    """Handle one h11 event; an unexpected one aborts the connection."""
    endpoint.connection.abort()


@_handle_event.register
def _(event: h11.InformationalResponse, endpoint: HttpEndpoint) -> None:
    """Ignore an informational response such as `100 Continue`."""


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
    """Return the message with a head and a body."""
    raise TypeError(f'{head!r} is neither a request nor a response')


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
    """Return the encoded bytes of a sequence of events."""
    return b''.join(codec.send(event) or b'' for event in events)
