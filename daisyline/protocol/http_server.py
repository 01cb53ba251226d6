"""The server's side of HTTP/1.1, for connections of callers, based on h11."""

import functools
from http import HTTPStatus

import h11

from daisyline.coordination.calls.messages import Headers
from daisyline.protocol.http_messages import (
    MAX_HEAD_BYTES,
    ContinueExpected,
    MalformedRequest,
    Request,
    end_to_end,
)
from daisyline.state.failures import Failure, Reason

_CALL_HEADER = b'daisyline-call'
_BODILESS_STATUSES = frozenset((204, 304))
_LENGTH_HEADER = b'content-length'
_EMPTY_BODY_HEADERS = ((b'Content-Length', b'0'),)


class AnswerCodec:
    """Encodes the answer to one request."""

    def __init__(self) -> None:
        """Create the codec of a connection without a request so far."""
        self._connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._request: h11.Request | None = None

    @classmethod
    def for_request(cls, request: h11.Request) -> 'AnswerCodec':
        """Return a codec that answers a request read by another codec."""
        codec = cls()
        connection_headers = [
            b'%s: %s\r\n' % pair
            for pair in request.headers
            if pair[0] == b'connection'
        ]
        codec._connection.receive_data(
            b'%s / HTTP/%s\r\nhost: caller\r\n%s\r\n'
            % (
                request.method,
                request.http_version,
                b''.join(connection_headers),
            )
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
        """Return the bytes of an answer's head; None if it is not valid HTTP.

        Args:
            status: The HTTP status.
            headers: End-to-end headers, in order.
            length: The length of the body in bytes; None if it is not known.
        """
        sent = list(headers)
        if status == HTTPStatus.NO_CONTENT:
            sent = [pair for pair in sent if pair[0].lower() != _LENGTH_HEADER]
        if length is not None and self._has_body(status):
            sent.append((b'Content-Length', str(length).encode()))
        return self._encode(h11.Response(status_code=status, headers=sent))

    def part(self, body: bytes) -> bytes | None:
        """Return the bytes of a part of a body.

        Returns None if the body is longer than its declared length.
        """
        return self._encode(h11.Data(data=body)) if body else b''

    def end(self) -> bytes | None:
        """Return the bytes that end an answer; None if it is incomplete."""
        return self._encode(h11.EndOfMessage())

    def _has_body(self, status: int) -> bool:
        """Return whether an answer with this status has a body."""
        request = self._request
        is_head_request = request is not None and request.method == b'HEAD'
        return not is_head_request and status not in _BODILESS_STATUSES

    def _encode(self, event: h11.Event) -> bytes | None:
        try:
            return self._connection.send(event) or b''
        except h11.LocalProtocolError:
            return None


class ServerCodec(AnswerCodec):
    """The server's side of one connection; reads one request at a time."""

    def __init__(self, body_limit_bytes: int) -> None:
        """Create the codec of a new connection.

        Args:
            body_limit_bytes: The size of the largest body that is accepted.
        """
        super().__init__()
        self._limit_bytes = body_limit_bytes
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._continue_sent = False
        self._is_finished = False

    @property
    def is_finished(self) -> bool:
        """Return whether the caller sends no further request."""
        return self._is_finished

    @property
    def is_idle(self) -> bool:
        """Return whether there is no current request and no unread bytes."""
        trailing, _closed = self._connection.trailing_data
        return self._request is None and not trailing

    def feed(self, octets: bytes) -> None:
        """Buffer received bytes; empty bytes mark the end of the stream."""
        if self._connection.their_state is not h11.ERROR:
            self._connection.receive_data(octets)

    def next_event(
        self,
    ) -> Request | ContinueExpected | MalformedRequest | None:
        """Return the next event, or None if more bytes are needed.

        Invalid HTTP is returned as `MalformedRequest`.
        """
        try:
            return self._next_event()
        except h11.RemoteProtocolError as error:
            hint = error.error_status_hint
            return _malformed(hint, Reason.BAD_REQUEST, str(error))

    def next_cycle(self) -> None:
        """Reset the codec for the next request on the connection."""
        self._connection.start_next_cycle()
        self._request = None
        self._body = []
        self._body_bytes = 0
        self._continue_sent = False

    def detach_answer(self) -> AnswerCodec:
        """Return a codec for the answer, and go on to the next request.

        The answer of this codec is encoded and discarded, so that further
        requests can be read before the first one is answered.
        """
        request = self._request
        assert request is not None
        answers = AnswerCodec.for_request(request)
        self._encode(
            h11.Response(
                status_code=HTTPStatus.OK, headers=list(_EMPTY_BODY_HEADERS)
            )
        )
        self._encode(h11.EndOfMessage())
        if self.is_reusable:
            self.next_cycle()
        else:
            self._is_finished = True
        return answers

    def add_body(self, body: bytes) -> MalformedRequest | None:
        """Buffer a part of the body; return a refusal if it is too large."""
        self._body.append(body)
        self._body_bytes += len(body)
        return (
            self._too_large() if self._body_bytes > self._limit_bytes else None
        )

    def begin_request(self, request: h11.Request) -> MalformedRequest | None:
        """Store the head of a request and check it.

        Returns a refusal for tunnels, for ambiguous framing of the body and
        for a `Content-Length` above the limit.
        """
        self._request = request
        if request.method == b'CONNECT':
            detail = 'CONNECT is not supported'
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
                'ambiguous framing of the request body',
            )
        if lengths and int(lengths[0]) > self._limit_bytes:
            return self._too_large()
        return None

    def continue_response(self) -> bytes:
        """Return the bytes of a `100 Continue`."""
        self._continue_sent = True
        event = h11.InformationalResponse(status_code=100, headers=[])
        return self._encode(event) or b''

    def _next_event(
        self,
    ) -> Request | ContinueExpected | MalformedRequest | None:
        while True:
            event = self._connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                return self._whole_request()
            if not isinstance(event, (h11.Request, h11.Data)):
                return self._continue_expected(event)
            refusal = _handle_part(event, self)
            if refusal is not None:
                return refusal

    def _too_large(self) -> MalformedRequest:
        detail = f'the body is larger than {self._limit_bytes} bytes'
        return _malformed(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE, Reason.TOO_LARGE, detail
        )

    def _continue_expected(self, event: object) -> ContinueExpected | None:
        """Return an event if the caller waits for a `100 Continue`."""
        if event is h11.NEED_DATA and not self._continue_sent:
            if self._connection.they_are_waiting_for_100_continue:
                return ContinueExpected()
        return None

    def _whole_request(self) -> Request:
        request = self._request
        assert request is not None
        return Request(
            method=bytes(request.method),
            path=bytes(request.target),
            headers=end_to_end(request.headers.raw_items()),
            body=b''.join(self._body),
            parent_call=_call_header(request),
        )


@functools.singledispatch
def _handle_part(event: object, codec: ServerCodec) -> MalformedRequest | None:
    """Handle a part of a request; return a refusal if it is not accepted."""
    raise TypeError(f'{event!r} is not part of a request')


@_handle_part.register
def _(event: h11.Request, codec: ServerCodec) -> MalformedRequest | None:
    return codec.begin_request(event)


@_handle_part.register
def _(event: h11.Data, codec: ServerCodec) -> MalformedRequest | None:
    return codec.add_body(bytes(event.data))


def _call_header(request: h11.Request) -> str:
    """Return the id of the parent call, or empty if the header is missing."""
    for name, content in request.headers:
        if name == _CALL_HEADER:
            return bytes(content).decode('latin-1')
    return ''


def _malformed(status: int, reason: Reason, detail: str) -> MalformedRequest:
    return MalformedRequest(status, Failure(reason, detail=detail))
