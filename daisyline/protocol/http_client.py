"""The client's side of HTTP/1.1, for requests to targets, based on h11."""

import functools
import re
from http import HTTPStatus

import h11

from daisyline.coordination.calls.messages import Headers
from daisyline.protocol.h11_connection import new_connection
from daisyline.protocol.http_messages import (
    BrokenAnswer,
    End,
    Head,
    Part,
    Request,
    answer_headers,
    detail_of,
)

# The number of informational responses (1xx) before an answer. More of them
# come from a target that may never answer.
MAX_INFORMATIONAL = 8
CALL_HEADER = b'daisyline-call'
_FRAMING_HEADERS = (b'content-length', b'transfer-encoding')
_BODILESS = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
# A body of this length or more is not copied behind its head.
_SEPARATE_BODY_BYTES = 65_536
# h11 joins a line that begins with a blank to the one before it, as obsolete
# line folding. From a target it may as well be a garbled name.
_FOLDED_LINE = re.compile(rb'\n[ \t]')
_KEEP_ALIVE_TIMEOUT = re.compile(rb'timeout\s*=\s*(\d{1,6})')


class ClientCodec:
    """The client's side of one connection: one call at a time."""

    def __init__(self) -> None:
        """Create the codec of a new connection."""
        self._connection = new_connection(h11.CLIENT)
        self._method = b''
        self._informational_count = 0
        # What was received since the last head; empty while a body is read.
        self._head = bytearray()

    def request(self, request: Request, extra_headers: Headers = ()) -> bytes:
        """Return the bytes of a whole request, as `request_pieces` does."""
        return b''.join(self.request_pieces(request, extra_headers))

    def request_pieces(
        self, request: Request, extra_headers: Headers = ()
    ) -> list[bytes]:
        """Return the bytes of a whole request, a long body without a copy.

        Args:
            request: The request; its `Host` header is sent unchanged. If it
                has none, `Host: target` is sent.
            extra_headers: Headers of the node, added at the end.

        Raises:
            h11.LocalProtocolError: If the request is not valid HTTP, or the
                previous call of the connection has not ended.
        """
        if self._connection.our_state is h11.DONE:
            self._connection.start_next_cycle()
        headers = [*request.headers, *extra_headers]
        if not request.header(b'host'):
            headers.insert(0, (b'Host', b'target'))
        if request.body or request.method in {b'POST', b'PUT', b'PATCH'}:
            length = str(len(request.body)).encode()
            headers.append((b'Content-Length', length))
        event = h11.Request(
            method=request.method, target=request.path, headers=headers
        )
        self._method = request.method
        self._informational_count = 0
        self._head.clear()
        pieces = [self._connection.send(event) or b'']
        if request.body:
            part = h11.Data(data=request.body)
            pieces += self._connection.send_with_data_passthrough(part) or ()
        # A body with a length has nothing behind it.
        self._connection.send(h11.EndOfMessage())
        if len(request.body) < _SEPARATE_BODY_BYTES:
            return [b''.join(pieces)]
        return pieces

    def feed(self, octets: bytes) -> None:
        """Buffer received bytes; empty bytes mark the end of the stream."""
        if self._connection.their_state is not h11.ERROR:
            self._connection.receive_data(octets)
        if self._connection.their_state is h11.SEND_RESPONSE:
            self._head += octets

    def next_event(self) -> Head | Part | End | BrokenAnswer | None:
        """Return the next event, or None if more bytes are needed.

        A malformed or truncated answer gives `BrokenAnswer`, as do more than
        `MAX_INFORMATIONAL` informational responses.
        """
        event = self._next_checked_event()
        while isinstance(event, h11.InformationalResponse):
            self._informational_count += 1
            if self._informational_count > MAX_INFORMATIONAL:
                return BrokenAnswer('too many informational responses')
            event = self._next_checked_event()
        if isinstance(event, h11.RemoteProtocolError):
            return BrokenAnswer(detail_of(event))
        return _answer_event(event, self)

    def expect_another_answer(self) -> bool:
        """Prepare to decode another answer to the request that was sent.

        It is called after the end of an answer that belonged to an earlier
        request. The bytes received after that end are decoded next.

        Returns:
            Whether the connection can still receive an answer.
        """
        rest, closed = self._connection.trailing_data
        is_open = self._connection.their_state is h11.DONE and not closed
        if is_open:
            # h11 accepts one answer for each request, so a new connection of
            # h11 gets the request again. Its bytes are not sent.
            self._connection = new_connection(h11.CLIENT)
            self._connection.send(
                h11.Request(
                    method=self._method, target=b'/', headers=[(b'Host', b'-')]
                )
            )
            self._connection.send(h11.EndOfMessage())
            self._informational_count = 0
            if rest:
                self.feed(rest)
        return is_open

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection may carry another call."""
        trailing, closed = self._connection.trailing_data
        return (
            self._connection.our_state is h11.DONE
            and self._connection.their_state is h11.DONE
            and not trailing
            and not closed
        )

    def has_length(self, response: h11.Response) -> bool:
        """Return whether the end of a response's body is marked."""
        return (
            self._method == b'HEAD'
            or response.status_code in _BODILESS
            or any(
                _header(response, name) is not None for name in _FRAMING_HEADERS
            )
        )

    def _next_checked_event(self) -> object:
        """Return the next event of h11; a head with folded lines is an error."""
        event = self._next_h11_event()
        if isinstance(event, (h11.InformationalResponse, h11.Response)):
            rest, _closed = self._connection.trailing_data
            head = self._head[: len(self._head) - len(rest)]
            is_last = isinstance(event, h11.Response)
            self._head = bytearray(b'' if is_last else rest)
            if _FOLDED_LINE.search(head):
                return h11.RemoteProtocolError('a folded header line')
        return event

    def _next_h11_event(self) -> object:
        """Return the next event of h11; a protocol error is returned as well."""
        try:
            return self._connection.next_event()
        except h11.RemoteProtocolError as error:
            return error


@functools.singledispatch
def _answer_event(
    event: object, codec: ClientCodec
) -> Head | Part | End | BrokenAnswer | None:
    """Translate an event of h11; return None if more bytes are needed."""


@_answer_event.register
def _(event: h11.Response, codec: ClientCodec) -> Head:
    headers = answer_headers(event.headers.raw_items())
    return Head(
        event.status_code,
        headers,
        _idle_timeout_s(event),
        _header(event, CALL_HEADER),
        codec.has_length(event),
    )


@_answer_event.register
def _(event: h11.Data, codec: ClientCodec) -> Part:
    return Part(bytes(event.data))


@_answer_event.register
def _(event: h11.EndOfMessage, codec: ClientCodec) -> End:
    return End(codec.is_reusable)


@_answer_event.register
def _(event: h11.ConnectionClosed, codec: ClientCodec) -> BrokenAnswer:
    return BrokenAnswer('the connection was closed')


def _idle_timeout_s(event: h11.Response) -> float | None:
    """Return the `Keep-Alive` timeout in seconds; None if there is none."""
    content = _header(event, b'keep-alive')
    found = _KEEP_ALIVE_TIMEOUT.search(content) if content else None
    return float(found.group(1)) if found else None


def _header(event: h11.Response, wanted: bytes) -> bytes | None:
    """Return the first header of a lower-case name, or None."""
    for name, content in event.headers:
        if name == wanted:
            return bytes(content)
    return None
