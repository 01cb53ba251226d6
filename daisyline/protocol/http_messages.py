"""HTTP requests and answers as immutable classes, and their headers."""

from collections.abc import Iterable

import attrs

from daisyline.coordination.calls.messages import Headers
from daisyline.state.failures import Failure

MAX_HEAD_BYTES = 65_536
MAX_DETAIL_CHARS = 200
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
_INTERNAL_PREFIX = b'daisyline-'


@attrs.frozen
class Request:
    """A whole request.

    Attributes:
        method: The method as received.
        path: The request target, byte for byte.
        headers: The end-to-end headers in order, with names as received.
        body: The whole body.
        parent_call: The `Daisyline-Call` header as received: the call that the
            sender runs. It is used only in requests of the target beside the
            node.
    """

    method: bytes
    path: bytes
    headers: Headers
    body: bytes
    parent_call: str = ''

    def header(self, name: bytes) -> bytes:
        """Return the first header of a lower-case name, or empty bytes."""
        for key, content in self.headers:
            if key.lower() == name:
                return content
        return b''


@attrs.frozen
class ContinueExpected:
    """The caller waits for a `100 Continue` before it sends the body."""


@attrs.frozen
class MoreBuffered:
    """The bound of decoding at a time is reached; more bytes are buffered."""


@attrs.frozen
class MalformedRequest:
    """An invalid request; it is refused and the connection is closed.

    Attributes:
        status: The HTTP status of the refusal.
        failure: The reason of the refusal.
    """

    status: int
    failure: Failure


@attrs.frozen
class Head:
    """The head of an answer.

    Attributes:
        status: The HTTP status.
        headers: The end-to-end headers, in order.
        idle_timeout_s: How long the target keeps an idle connection open, in
            seconds; None if the answer does not state it.
        call: The id of daisyline's call that the answer repeats; None if it
            repeats none.
        has_length: Whether the end of the body is marked, by its length or by
            its last chunk; otherwise the body ends with the connection.
    """

    status: int
    headers: Headers
    idle_timeout_s: float | None = None
    call: bytes | None = None
    has_length: bool = True

    def header(self, name: bytes) -> bytes | None:
        """Return the first header of a lower-case name, or None."""
        for key, content in self.headers:
            if key.lower() == name:
                return content
        return None


@attrs.frozen
class Part:
    """A part of an answer's body."""

    body: bytes


@attrs.frozen
class End:
    """The end of a complete answer.

    Attributes:
        is_reusable: Whether the connection may carry another request.
    """

    is_reusable: bool


@attrs.frozen
class BrokenAnswer:
    """An answer that is not valid HTTP or ended before it was complete.

    Attributes:
        detail: What is wrong, for logs.
        is_whole: Whether the target sent it to its end, so that the end of
            the connection is no sign of a crash.
    """

    detail: str
    is_whole: bool = False


def detail_of(error: Exception) -> str:
    """Return the text of an error of h11, shortened, and release the rest.

    The error quotes what was received, which may be a whole head, and its text
    is kept with the events of calls. Its traceback refers to the error itself
    and to the received bytes, so that they would stay until the next
    collection of reference cycles.
    """
    error.__traceback__ = None
    return str(error)[:MAX_DETAIL_CHARS]


def answer_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return an answer's end-to-end headers and its `Content-Length`.

    The length is included so that the entry node can send it before it has
    the whole body, and in answers to HEAD.
    """
    raw = list(headers)
    end_to_end_headers = end_to_end(raw)
    lengths = tuple(
        (name, content)
        for name, content in raw
        if name.lower() == b'content-length'
    )
    return end_to_end_headers + lengths[:1]


def end_to_end(raw: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers that may be forwarded.

    Hop-by-hop headers, headers that `Connection` names and headers reserved
    for daisyline are dropped.
    """
    headers = list(raw)
    named_by_connection = {
        token.strip().lower()
        for name, content in headers
        if name.lower() == b'connection'
        for token in content.split(b',')
    }
    dropped = _HOP_BY_HOP | named_by_connection
    return tuple(
        (bytes(name), bytes(content))
        for name, content in headers
        if name.lower() not in dropped
        and not name.lower().startswith(_INTERNAL_PREFIX)
    )
