"""The client's side of HTTP/1.1, for requests to targets, based on h11."""

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

_KEEP_ALIVE_TIMEOUT = re.compile(rb'timeout\s*=\s*(\d{1,6})')
# Initial value of the loop that skips informational responses.
_INFORMATIONAL = h11.InformationalResponse(status_code=100, headers=[])


class ClientCodec:
    """The client's side of one connection: one call at a time."""

    def __init__(self) -> None:
        """Create the codec of a new connection."""
        self._connection = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )

    def request(self, request: Request, extra_headers: Headers = ()) -> bytes:
        """Return the bytes of a whole request.

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
        chunks = [self._connection.send(event) or b'']
        if request.body:
            chunks.append(
                self._connection.send(h11.Data(data=request.body)) or b''
            )
        chunks.append(self._connection.send(h11.EndOfMessage()) or b'')
        return b''.join(chunks)

    def feed(self, octets: bytes) -> None:
        """Buffer received bytes; empty bytes mark the end of the stream."""
        if self._connection.their_state is not h11.ERROR:
            self._connection.receive_data(octets)

    def next_event(self) -> Head | Part | End | BrokenAnswer | None:
        """Return the next event, or None if more bytes are needed.

        A malformed or truncated answer gives `BrokenAnswer`.
        """
        event: object = _INFORMATIONAL
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
    """Translate an event of h11; return None if more bytes are needed."""


@_answer_event.register
def _(event: h11.Response, codec: ClientCodec) -> Head:
    headers = answer_headers(event.headers.raw_items())
    return Head(event.status_code, headers, _idle_timeout_s(event))


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
    for name, content in event.headers:
        if name == b'keep-alive':
            found = _KEEP_ALIVE_TIMEOUT.search(content)
            return float(found.group(1)) if found else None
    return None
