"""The server's side of HTTP/1.1, for connections of callers, based on h11."""

import functools
import io
from http import HTTPStatus

import h11

from daisyline.coordination.memory.body_cost import BodyCost
from daisyline.protocol.answer_codec import AnswerCodec
from daisyline.protocol.http_messages import (
    ContinueExpected,
    MalformedRequest,
    MoreBuffered,
    Request,
    detail_of,
    end_to_end,
)
from daisyline.state.failures import Failure, Reason

_CALL_HEADER = b'daisyline-call'
# How many events of h11 are decoded for one connection before others get their
# turn. Each chunk of a body is one and takes some 15 us.
_EVENTS_PER_TURN = 16
# A colon, a space and the end of the line.
_HEADER_SEPARATORS = 4
_EMPTY_BODY_HEADERS = ((b'Content-Length', b'0'),)


class ServerCodec(AnswerCodec):
    """The server's side of one connection; reads one request at a time."""

    def __init__(self, body_limit_bytes: int) -> None:
        """Create the codec of a new connection.

        Args:
            body_limit_bytes: The size of the largest body that is accepted.
        """
        super().__init__()
        self._limit_bytes = body_limit_bytes
        # Grows without a copy, and gives its bytes without one.
        self._body = io.BytesIO()
        self._cost = BodyCost()
        self._is_costly = False
        self._received_bytes = 0
        self._events_left = _EVENTS_PER_TURN
        self._continue_sent = False
        self._is_finished = False

    @property
    def is_finished(self) -> bool:
        """Return whether the caller sends no further request."""
        return self._is_finished

    @property
    def held_bytes(self) -> int:
        """Return the bytes that the request being received takes at most."""
        return self._received_bytes

    @property
    def costly_chunks(self) -> int:
        """Return the chunks of a body that costs too much for its payload.

        It is 0 for other bodies.
        """
        return self._cost.chunks if self._is_costly else 0

    @property
    def is_idle(self) -> bool:
        """Return whether there is no current request and no unread bytes."""
        trailing, _closed = self._connection.trailing_data
        return self._request is None and not trailing

    def feed(self, octets: bytes) -> None:
        """Buffer received bytes; empty bytes mark the end of the stream."""
        if self._connection.their_state is not h11.ERROR:
            self._connection.receive_data(octets)
            self._received_bytes += len(octets)
            self.begin_turn()

    def begin_turn(self) -> None:
        """Allow the decoding of a bounded number of further events."""
        self._events_left = _EVENTS_PER_TURN

    def discard_body(self) -> None:
        """Release what was received of a request that is refused."""
        self._body = io.BytesIO()
        self._received_bytes = 0

    def next_event(
        self,
    ) -> Request | ContinueExpected | MalformedRequest | MoreBuffered | None:
        """Return the next event, or None if more bytes are needed.

        Invalid HTTP is returned as `MalformedRequest`. At most
        `_EVENTS_PER_TURN` parts are decoded after each `begin_turn`.
        """
        try:
            return self._next_event()
        except h11.RemoteProtocolError as error:
            hint = error.error_status_hint
            return _malformed(hint, Reason.BAD_REQUEST, detail_of(error))

    def next_cycle(self) -> None:
        """Reset the codec for the next request on the connection."""
        self._connection.start_next_cycle()
        self._request = None
        self._body = io.BytesIO()
        self._cost = BodyCost()
        self._is_costly = False
        self._received_bytes = 0
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

    def add_body(self, part: h11.Data) -> MalformedRequest | None:
        """Buffer a part of the body.

        Returns a refusal if the body is too large.
        """
        size = len(part.data)
        self._cost.add(size, starts_chunk=part.chunk_start)
        if self._cost.payload_bytes > self._limit_bytes:
            return self._too_large()
        self._body.write(part.data)
        self._is_costly = self._is_costly or self._cost.is_excessive()
        return None

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
    ) -> Request | ContinueExpected | MalformedRequest | MoreBuffered | None:
        while self._events_left:
            self._events_left -= 1
            event = self._connection.next_event()
            if isinstance(event, h11.EndOfMessage):
                return self._whole_request()
            if not isinstance(event, (h11.Request, h11.Data)):
                return self._await_bytes(event)
            refusal = _handle_part(event, self)
            if refusal is not None:
                return refusal
        return MoreBuffered()

    def _too_large(self) -> MalformedRequest:
        detail = f'the body is larger than {self._limit_bytes} bytes'
        return _malformed(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE, Reason.TOO_LARGE, detail
        )

    def _await_bytes(self, event: object) -> ContinueExpected | None:
        """Return the event for a request of which all bytes are decoded."""
        if event is not h11.NEED_DATA:
            return None
        if self._cost.chunks:
            # The sizes of chunks may have long extensions.
            body_bytes = self._received_bytes - _head_bytes(self._request)
            self._is_costly = self._cost.is_excessive(body_bytes)
        waits = self._connection.they_are_waiting_for_100_continue
        return None if self._continue_sent or not waits else ContinueExpected()

    def _whole_request(self) -> Request:
        request = self._request
        assert request is not None
        return Request(
            method=bytes(request.method),
            path=bytes(request.target),
            headers=end_to_end(request.headers.raw_items()),
            body=self._body.getvalue(),
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
    return codec.add_body(event)


def _call_header(request: h11.Request) -> str:
    """Return the id of the parent call, or empty if the header is missing."""
    for name, content in request.headers:
        if name == _CALL_HEADER:
            return bytes(content).decode('latin-1')
    return ''


def _head_bytes(request: h11.Request | None) -> int:
    """Return the size of a request's head, without optional spaces."""
    if request is None:
        return 0
    return len(request.target) + sum(
        len(name) + len(content) + _HEADER_SEPARATORS
        for name, content in request.headers
    )


def _malformed(status: int, reason: Reason, detail: str) -> MalformedRequest:
    return MalformedRequest(status, Failure(reason, detail=detail))
