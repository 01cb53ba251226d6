"""The client's side of HTTP/1.1, as targets speak it, over h11."""

import functools
import re

import h11

from daisyline.coordination.messages import Headers
from daisyline.protocol.http_messages import (
    MAX_HEAD_BYTES,
    BrokenAnswer,
    End,
    Head,
    Part,
    Request,
    answer_headers,
)

_KEPT = re.compile(rb'timeout\s*=\s*(\d{1,6})')
# Stands before the first event, which is skipped like all of its kind.
_SKIPPED = h11.InformationalResponse(status_code=100, headers=[])


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

    def next_event(self) -> Head | Part | End | BrokenAnswer | None:
        """Return the next event, or None if more bytes are needed."""
        event: object = _SKIPPED
        while isinstance(event, h11.InformationalResponse):
            try:
                event = self._connection.next_event()
            except h11.RemoteProtocolError as error:
                return BrokenAnswer(str(error))
        return _answer_event(event, self)

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


@functools.singledispatch
def _answer_event(
    event: object, codec: ClientCodec
) -> Head | Part | End | BrokenAnswer | None:
    """Translate one event of h11; it has none if more bytes are needed."""


@_answer_event.register
def _(event: h11.Response, codec: ClientCodec) -> Head:
    headers = answer_headers(event.headers.raw_items())
    return Head(event.status_code, headers, _idle_s(event))


@_answer_event.register
def _(event: h11.Data, codec: ClientCodec) -> Part:
    return Part(bytes(event.data))


@_answer_event.register
def _(event: h11.EndOfMessage, codec: ClientCodec) -> End:
    return End(codec.is_reusable)


@_answer_event.register
def _(event: h11.ConnectionClosed, codec: ClientCodec) -> BrokenAnswer:
    return BrokenAnswer('the connection closed')


def _idle_s(event: h11.Response) -> float | None:
    """Return how long an idle connection is kept, if the answer says."""
    for name, content in event.headers:
        if name == b'keep-alive':
            found = _KEPT.search(content)
            return float(found.group(1)) if found else None
    return None
