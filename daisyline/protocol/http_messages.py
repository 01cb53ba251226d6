"""Requests and answers as values, and the headers that travel with them."""

from collections.abc import Iterable

import attrs

from daisyline.coordination.messages import Headers
from daisyline.state.failures import Failure

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
    parent_call: str = ''

    def header(self, name: bytes) -> bytes:
        """Return the first header of a lower-case name, or empty bytes."""
        for key, content in self.headers:
            if key.lower() == name:
                return content
        return b''


@attrs.frozen
class ContinueExpected:
    """The caller waits to be told that it may send its body."""


@attrs.frozen
class MalformedRequest:
    """A request that is refused, after which the connection is closed.

    Attributes:
        status: The HTTP status of the refusal.
        failure: Why.
    """

    status: int
    failure: Failure


@attrs.frozen
class Head:
    """The head of an answer.

    Attributes:
        status: The HTTP status.
        headers: The end-to-end headers, in order.
        idle_s: How long the target keeps the idle connection, in seconds;
            None if it doesn't say.
    """

    status: int
    headers: Headers
    idle_timeout_s: float | None = None

    def header(self, name: bytes) -> bytes | None:
        """Return the first header of a lower-case name, None if none is."""
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
    """The answer is whole; `reusable` says if the connection may be kept."""

    is_reusable: bool


@attrs.frozen
class BrokenAnswer:
    """The answer is not HTTP, or ended before it was whole."""

    detail: str


def answer_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return an answer's end-to-end headers, its length among them.

    The length goes along so that the entry can send it before it has seen
    the whole body, and in answers to HEAD.
    """
    raw = list(headers)
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
