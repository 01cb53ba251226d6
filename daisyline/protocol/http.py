"""HTTP/1.1 as callers and targets speak it, over h11's state machines."""

import functools
from collections.abc import Iterable
from http import HTTPStatus

import attrs
import h11

from daisyline.coordination.messages import Headers
from daisyline.state.failures import Failure, Reason

MAX_HEAD_BYTES = 65_536
_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
        b'content-length',
    )
)
_OWN_PREFIX = b'daisyline-'
_CONTEXT_HEADER = b'daisyline-call'
_BODILESS = frozenset((204, 304))


@attrs.frozen
class Request:
    """A whole request.

    Attributes:
        method: As sent.
        path: The request's target, byte for byte.
        headers: End-to-end headers in order, names as sent.
        body: The whole body.
        context: The `Daisyline-Call` header as it came; only the target
            beside a node is asked for it.
    """

    method: bytes
    path: bytes
    headers: Headers
    body: bytes
    context: str = ''

    def header(self, name: bytes) -> bytes:
        """Return the first header of a lower-case name, or empty bytes."""
        for key, content in self.headers:
            if key.lower() == name:
                return content
        return b''


@attrs.frozen
class Continue:
    """The caller waits to be told that it may send its body."""


@attrs.frozen
class Malformed:
    """A request that is refused, after which the connection is closed.

    Attributes:
        status: The HTTP status of the refusal.
        failure: Why.
    """

    status: int
    failure: Failure


@attrs.frozen
class Head:
    """The head of an answer; `headers` are the end-to-end ones."""

    status: int
    headers: Headers


@attrs.frozen
class Part:
    """A part of an answer's body."""

    body: bytes


@attrs.frozen
class End:
    """The answer is whole; `reusable` says if the connection may be kept."""

    reusable: bool


@attrs.frozen
class Broken:
    """The answer is not HTTP, or ended before it was whole."""

    detail: str


class ServerCodec:
    """The server's side of one connection: one request at a time, in order."""

    def __init__(self, body_limit_bytes: int) -> None:
        """Start before the first request."""
        self._limit = body_limit_bytes
        self._connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._request: h11.Request | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._continued = False

    @property
    def idle(self) -> bool:
        """Return whether no byte of a request is waiting or under way."""
        trailing, _closed = self._connection.trailing_data
        return self._request is None and not trailing

    @property
    def reusable(self) -> bool:
        """Return whether another request may follow the answer."""
        return (
            self._connection.our_state is h11.DONE
            and self._connection.their_state is h11.DONE
        )

    def feed(self, octets: bytes) -> None:
        """Take bytes; empty bytes mean that the caller sends no more."""
        if self._connection.their_state is not h11.ERROR:
            self._connection.receive_data(octets)

    def next_event(self) -> Request | Continue | Malformed | None:
        """Return the next event, or None if more bytes are needed."""
        try:
            return self._next_event()
        except h11.RemoteProtocolError as error:
            hint = error.error_status_hint
            return _malformed(hint, Reason.BAD_REQUEST, str(error))

    def next_cycle(self) -> None:
        """Make ready for the next request on the connection."""
        self._connection.start_next_cycle()
        self._request = None
        self._body = []
        self._body_bytes = 0
        self._continued = False

    def add_body(self, body: bytes) -> Malformed | None:
        """Keep a part of the body, unless it has grown too long."""
        self._body.append(body)
        self._body_bytes += len(body)
        return self._too_large() if self._body_bytes > self._limit else None

    def begin(self, request: h11.Request) -> Malformed | None:
        """Check a request's head for framing that could be read two ways."""
        self._request = request
        lengths = [
            content
            for name, content in request.headers
            if name == b'content-length'
        ]
        chunked = any(
            name == b'transfer-encoding' for name, _ in request.headers
        )
        if chunked and (lengths or request.http_version < b'1.1'):
            return _malformed(
                HTTPStatus.BAD_REQUEST,
                Reason.BAD_REQUEST,
                'two framings of one body',
            )
        if lengths and int(lengths[0]) > self._limit:
            return self._too_large()
        return None

    def say_continue(self) -> bytes:
        """Return the bytes that let the caller send its body."""
        self._continued = True
        return self._sent(
            h11.InformationalResponse(status_code=100, headers=[])
        )

    def head(self, status: int, headers: Headers, length: int | None) -> bytes:
        """Return the bytes of an answer's head.

        Args:
            status: The HTTP status.
            headers: End-to-end headers, in order.
            length: The body's length if it is known, in bytes.
        """
        sent = list(headers)
        if length is not None and self._has_body(status):
            sent.append((b'Content-Length', str(length).encode()))
        return self._sent(h11.Response(status_code=status, headers=sent))

    def part(self, body: bytes) -> bytes:
        """Return the bytes of a part of an answer's body."""
        return self._sent(h11.Data(data=body)) if body else b''

    def end(self) -> bytes:
        """Return the bytes that end an answer."""
        return self._sent(h11.EndOfMessage())

    def _next_event(self) -> Request | Continue | Malformed | None:
        while True:
            event = self._connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                return self._finished()
            if not isinstance(event, (h11.Request, h11.Data)):
                return self._waiting(event)
            refusal = _take_part(event, self)
            if refusal is not None:
                return refusal

    def _too_large(self) -> Malformed:
        detail = f'the body is longer than {self._limit} bytes'
        return _malformed(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE, Reason.TOO_LARGE, detail
        )

    def _waiting(self, event: object) -> Continue | None:
        """Return whether the caller waits for us, not we for it."""
        if event is h11.NEED_DATA and not self._continued:
            if self._connection.they_are_waiting_for_100_continue:
                return Continue()
        return None

    def _has_body(self, status: int) -> bool:
        """Return whether an answer of this status has a body of its own."""
        request = self._request
        of_head = request is not None and request.method == b'HEAD'
        return not of_head and status not in _BODILESS

    def _finished(self) -> Request:
        request = self._request
        assert request is not None
        return Request(
            method=bytes(request.method),
            path=bytes(request.target),
            headers=end_to_end(request.headers.raw_items()),
            body=b''.join(self._body),
            context=_context_of(request),
        )

    def _sent(self, event: h11.Event) -> bytes:
        return self._connection.send(event) or b''


class ClientCodec:
    """The client's side of one connection: one call at a time."""

    def __init__(self) -> None:
        """Start before the first call."""
        self._connection = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )

    def request(self, request: Request, extra: Headers = ()) -> bytes:
        """Return the bytes of a whole request.

        Args:
            request: What is sent; its `Host` header goes out as it came.
            extra: Headers of our own, added at the end.
        """
        if self._connection.our_state is h11.DONE:
            self._connection.start_next_cycle()
        headers = [*request.headers, *extra]
        if not request.header(b'host'):
            headers.insert(0, (b'Host', b'target'))
        if request.body or request.method in {b'POST', b'PUT', b'PATCH'}:
            length = str(len(request.body)).encode()
            headers.append((b'Content-Length', length))
        event = h11.Request(
            method=request.method, target=request.path, headers=headers
        )
        sent = [self._connection.send(event) or b'']
        if request.body:
            sent.append(
                self._connection.send(h11.Data(data=request.body)) or b''
            )
        sent.append(self._connection.send(h11.EndOfMessage()) or b'')
        return b''.join(sent)

    def feed(self, octets: bytes) -> None:
        """Take bytes; empty bytes mean that the target sends no more."""
        if self._connection.their_state is not h11.ERROR:
            self._connection.receive_data(octets)

    def next_event(self) -> Head | Part | End | Broken | None:
        """Return the next event, or None if more bytes are needed."""
        try:
            event = self._connection.next_event()
        except h11.RemoteProtocolError as error:
            return Broken(str(error))
        return _answer_event(event, self)

    @property
    def reusable(self) -> bool:
        """Return whether the connection may carry another call."""
        trailing, closed = self._connection.trailing_data
        return (
            self._connection.our_state is h11.DONE
            and self._connection.their_state is h11.DONE
            and not trailing
            and not closed
        )


@functools.singledispatch
def _take_part(event: object, codec: ServerCodec) -> Malformed | None:
    """Take one part of a request; return a refusal if it must not go on."""
    raise TypeError(f'{event!r} is no part of a request')


@_take_part.register
def _(event: h11.Request, codec: ServerCodec) -> Malformed | None:
    return codec.begin(event)


@_take_part.register
def _(event: h11.Data, codec: ServerCodec) -> Malformed | None:
    return codec.add_body(bytes(event.data))


@functools.singledispatch
def _answer_event(
    event: object, codec: ClientCodec
) -> Head | Part | End | Broken | None:
    """Translate one event of h11; it has none if more bytes are needed."""


@_answer_event.register
def _(
    event: h11.InformationalResponse, codec: ClientCodec
) -> Head | Part | End | Broken | None:
    return codec.next_event()


@_answer_event.register
def _(event: h11.Response, codec: ClientCodec) -> Head:
    return Head(event.status_code, answer_headers(event))


@_answer_event.register
def _(event: h11.Data, codec: ClientCodec) -> Part:
    return Part(bytes(event.data))


@_answer_event.register
def _(event: h11.EndOfMessage, codec: ClientCodec) -> End:
    return End(codec.reusable)


@_answer_event.register
def _(event: h11.ConnectionClosed, codec: ClientCodec) -> Broken:
    return Broken('the connection closed')


def _context_of(request: h11.Request) -> str:
    for name, content in request.headers:
        if name == _CONTEXT_HEADER:
            return bytes(content).decode('latin-1')
    return ''


def answer_headers(response: h11.Response) -> Headers:
    """Return an answer's end-to-end headers, its length among them.

    The length goes along so that the entry can send it before it has seen
    the whole body, and in answers to HEAD.
    """
    raw = list(response.headers.raw_items())
    kept = end_to_end(raw)
    lengths = tuple(
        (name, content)
        for name, content in raw
        if name.lower() == b'content-length'
    )
    return kept + lengths[:1]


def end_to_end(raw: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Drop hop-by-hop headers, those that `Connection` names, and our own."""
    headers = list(raw)
    named = {
        token.strip().lower()
        for name, content in headers
        if name.lower() == b'connection'
        for token in content.split(b',')
    }
    dropped = _HOP_BY_HOP | named
    return tuple(
        (bytes(name), bytes(content))
        for name, content in headers
        if name.lower() not in dropped
        and not name.lower().startswith(_OWN_PREFIX)
    )


def _malformed(status: int, reason: Reason, detail: str) -> Malformed:
    return Malformed(status, Failure(reason, detail=detail))
