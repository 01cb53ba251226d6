"""The server's side of HTTP/1.1, as callers speak it, over h11."""

import functools
from http import HTTPStatus

import h11

from daisyline.coordination.messages import Headers
from daisyline.protocol.http_messages import (
    MAX_HEAD_BYTES,
    ContinueExpected,
    MalformedRequest,
    Request,
    end_to_end,
)
from daisyline.state.failures import Failure, Reason

_CONTEXT_HEADER = b'daisyline-call'
_BODILESS = frozenset((204, 304))
_LENGTH = b'content-length'
_EMPTY = ((b'Content-Length', b'0'),)


class AnswerCodec:
    """The answer to one request."""

    def __init__(self) -> None:
        """Start before the request."""
        self._connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._request: h11.Request | None = None

    @classmethod
    def for_request(cls, request: h11.Request) -> 'AnswerCodec':
        """Build the codec for the answer to a request that was read."""
        codec = cls()
        kept = [
            b'%s: %s\r\n' % pair
            for pair in request.headers
            if pair[0] == b'connection'
        ]
        codec._connection.receive_data(
            b'%s / HTTP/%s\r\nhost: caller\r\n%s\r\n'
            % (request.method, request.http_version, b''.join(kept))
        )
        codec._request = request
        codec._connection.next_event()
        codec._connection.next_event()
        return codec

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may follow the answer."""
        return (
            self._connection.our_state is h11.DONE
            and self._connection.their_state is h11.DONE
        )

    def head(
        self, status: int, headers: Headers, length: int | None
    ) -> bytes | None:
        """Return the bytes of an answer's head; None if it can't be sent.

        Args:
            status: The HTTP status.
            headers: End-to-end headers, in order.
            length: The body's length if it is known, in bytes.
        """
        sent = list(headers)
        if status == HTTPStatus.NO_CONTENT:
            sent = [pair for pair in sent if pair[0].lower() != _LENGTH]
        if length is not None and self._has_body(status):
            sent.append((b'Content-Length', str(length).encode()))
        return self._sent(h11.Response(status_code=status, headers=sent))

    def part(self, body: bytes) -> bytes | None:
        """Return the bytes of a part of a body; None if it is too long."""
        return self._sent(h11.Data(data=body)) if body else b''

    def end(self) -> bytes | None:
        """Return the bytes that end an answer; None if it isn't whole."""
        return self._sent(h11.EndOfMessage())

    def _has_body(self, status: int) -> bool:
        """Return whether an answer of this status has a body of its own."""
        request = self._request
        of_head = request is not None and request.method == b'HEAD'
        return not of_head and status not in _BODILESS

    def _sent(self, event: h11.Event) -> bytes | None:
        try:
            return self._connection.send(event) or b''
        except h11.LocalProtocolError:
            return None


class ServerCodec(AnswerCodec):
    """The server's side of one connection: one request at a time, in order."""

    def __init__(self, body_limit_bytes: int) -> None:
        """Start before the first request."""
        super().__init__()
        self._limit = body_limit_bytes
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._continued = False
        self._over = False

    @property
    def is_finished(self) -> bool:
        """Return whether the caller has said that no request follows."""
        return self._over

    @property
    def is_idle(self) -> bool:
        """Return whether no byte of a request is waiting or under way."""
        trailing, _closed = self._connection.trailing_data
        return self._request is None and not trailing

    def feed(self, octets: bytes) -> None:
        """Take bytes; empty bytes mean that the caller sends no more."""
        if self._connection.their_state is not h11.ERROR:
            self._connection.receive_data(octets)

    def next_event(
        self,
    ) -> Request | ContinueExpected | MalformedRequest | None:
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

    def detach_answer(self) -> AnswerCodec:
        """Return what answers this request, and go on to the next one.

        The connection's own answer to it is left out, so that further
        requests can be read before there is an answer.
        """
        request = self._request
        assert request is not None
        answers = AnswerCodec.for_request(request)
        self._sent(
            h11.Response(status_code=HTTPStatus.OK, headers=list(_EMPTY))
        )
        self._sent(h11.EndOfMessage())
        if self.is_reusable:
            self.next_cycle()
        else:
            self._over = True
        return answers

    def add_body(self, body: bytes) -> MalformedRequest | None:
        """Keep a part of the body, unless it has grown too long."""
        self._body.append(body)
        self._body_bytes += len(body)
        return self._too_large() if self._body_bytes > self._limit else None

    def begin_request(self, request: h11.Request) -> MalformedRequest | None:
        """Refuse tunnels, and framing that could be read two ways."""
        self._request = request
        if request.method == b'CONNECT':
            detail = 'no tunnels are made'
            return _malformed(
                HTTPStatus.NOT_IMPLEMENTED, Reason.BAD_REQUEST, detail
            )
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

    def continue_response(self) -> bytes:
        """Return the bytes that let the caller send its body."""
        self._continued = True
        event = h11.InformationalResponse(status_code=100, headers=[])
        return self._sent(event) or b''

    def _next_event(
        self,
    ) -> Request | ContinueExpected | MalformedRequest | None:
        while True:
            event = self._connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                return self._finished()
            if not isinstance(event, (h11.Request, h11.Data)):
                return self._waiting(event)
            refusal = _take_part(event, self)
            if refusal is not None:
                return refusal

    def _too_large(self) -> MalformedRequest:
        detail = f'the body is longer than {self._limit} bytes'
        return _malformed(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE, Reason.TOO_LARGE, detail
        )

    def _waiting(self, event: object) -> ContinueExpected | None:
        """Return whether the caller waits for us, not we for it."""
        if event is h11.NEED_DATA and not self._continued:
            if self._connection.they_are_waiting_for_100_continue:
                return ContinueExpected()
        return None

    def _finished(self) -> Request:
        request = self._request
        assert request is not None
        return Request(
            method=bytes(request.method),
            path=bytes(request.target),
            headers=end_to_end(request.headers.raw_items()),
            body=b''.join(self._body),
            parent_call=_context_of(request),
        )


@functools.singledispatch
def _take_part(event: object, codec: ServerCodec) -> MalformedRequest | None:
    """Take one part of a request; return a refusal if it must not go on."""
    raise TypeError(f'{event!r} is no part of a request')


@_take_part.register
def _(event: h11.Request, codec: ServerCodec) -> MalformedRequest | None:
    return codec.begin_request(event)


@_take_part.register
def _(event: h11.Data, codec: ServerCodec) -> MalformedRequest | None:
    return codec.add_body(bytes(event.data))


def _context_of(request: h11.Request) -> str:
    for name, content in request.headers:
        if name == _CONTEXT_HEADER:
            return bytes(content).decode('latin-1')
    return ''


def _malformed(status: int, reason: Reason, detail: str) -> MalformedRequest:
    return MalformedRequest(status, Failure(reason, detail=detail))
