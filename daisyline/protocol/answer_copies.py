"""Finds copies of an answer in a body that ends with its connection.

A target may send an answer again before it closes. If the answer states no
length, only the head of the copy shows where the body has ended. Such a head
names a call of the same connection, which hardly any body does.
"""

import hashlib
import re
from collections.abc import Callable
from typing import Any

import attrs

# More copies of one answer come from a target that may never stop.
MAX_COPIES = 4
_MAX_HEADERS = 64
# The head of a target's answer is far shorter; a longer one is part of a body.
_MAX_HEAD_BYTES = 16_384
_DIGEST_BYTES = 16
_PREFIX = b'HTTP/1.'
_LINE_END = b'\r\n'
_BLANKS = b' \t'
_STATUS_LINE = re.compile(rb'HTTP/1\.[01] \d{3}(?: [^\r\n]*)?')
_STATUS_START = re.compile(rb'HTTP/1\.[01] \d{3}')
# An empty line ends the head. A target that writes answers again may garble
# the names of headers, so nearly any name is taken.
_HEADER_LINE = re.compile(rb'(?:((?!HTTP/1\.)[^:\n]*):([^\r\n]*))?')
_LINES = (_STATUS_LINE, *(_HEADER_LINE for _ in range(_MAX_HEADERS)))


@attrs.define
class _Body:
    """The size and digest of one body."""

    size: int = 0
    digest: Any = attrs.field(
        factory=lambda: hashlib.blake2b(digest_size=_DIGEST_BYTES)
    )

    def add(self, octets: bytes) -> None:
        self.size += len(octets)
        self.digest.update(octets)

    def equals(self, other: '_Body') -> bool:
        return (
            self.size == other.size
            and self.digest.digest() == other.digest.digest()
        )


@attrs.define
class CopyFilter:
    """The body of one answer without a length, as it is received.

    Attributes:
        _id_header: The lower-case name of the header by which an answer names
            its call.
        _is_known: Returns whether an id is that of a call of the connection.
        _own_id: The id of the call that is answered.
        _held: The last bytes received, which may be the start of a head.
        _bodies: The bodies of the answer and of its copies so far.
        _is_foreign: Whether an answer to another call was found.
    """

    _id_header: bytes
    _is_known: Callable[[bytes], bool]
    _own_id: bytes
    _held: bytes = b''
    _bodies: list[_Body] = attrs.field(factory=lambda: [_Body()])
    _is_foreign: bool = False

    @property
    def is_broken(self) -> bool:
        """Return whether the rest of the answer can't make it whole."""
        first, *copies = self._bodies
        return (
            self._is_foreign
            or len(copies) > MAX_COPIES
            or any(copy.size > first.size for copy in copies)
        )

    def feed(self, octets: bytes) -> bytes:
        """Take received bytes; return those that certainly are of the body."""
        received = self._held + octets
        own: list[bytes] = []
        at = 0
        while at < len(received) and not self.is_broken:
            start, end, head = self._next_head(received, at)
            own.append(self._add(received[at:start]))
            at = end
            if head:
                self._start_copy(head)
            if end == start:
                break
        self._held = received[at:]
        return b''.join(own)

    def finish(self) -> bytes | None:
        """Return the rest of the body at the end of the connection.

        Returns:
            The bytes; None if it is not certain that the body is whole: the
            answer was followed by a part of an answer, or by one that differs.
        """
        if self.is_broken or _STATUS_START.match(self._held):
            return None
        rest = self._add(self._held)
        self._held = b''
        first, *copies = self._bodies
        return rest if all(copy.equals(first) for copy in copies) else None

    def _add(self, octets: bytes) -> bytes:
        """Count bytes of the present body; return those of the first one."""
        self._bodies[-1].add(octets)
        return octets if len(self._bodies) == 1 else b''

    def _start_copy(self, head: bytes) -> None:
        self._is_foreign = self._is_foreign or head != self._own_id
        self._bodies.append(_Body())

    def _next_head(self, received: bytes, at: int) -> tuple[int, int, bytes]:
        """Find the next head that names a call of the connection.

        Returns:
            Where the bytes before it end, where it ends, and the id that it
            names. Without an id the two places are the same: what follows
            may be the start of a head, if anything follows.
        """
        start = received.find(_PREFIX, at)
        while start >= 0:
            end, named = _parse_head(received, start, self._id_header)
            if end < 0:
                return start, start, b''
            if named and self._is_known(named):
                return start, end, named
            start = received.find(_PREFIX, start + 1)
        kept = len(received) - _partial_prefix_bytes(received)
        return max(at, kept), max(at, kept), b''


def _parse_head(
    received: bytes, start: int, id_header: bytes
) -> tuple[int, bytes]:
    """Parse the head of an answer.

    Returns:
        Where it ends, or -1 if more bytes are needed, and the id that it
        names; empty if it names none or the bytes are no head.
    """
    at = start
    named = b''
    for pattern in _LINES:
        line_end = received.find(_LINE_END, at, start + _MAX_HEAD_BYTES)
        if line_end < 0:
            may_go_on = _may_be_cut(received, start, at, pattern)
            return (-1 if may_go_on else start), b''
        found = pattern.fullmatch(received, at, line_end)
        if found is None:
            return start, b''
        at = line_end + len(_LINE_END)
        if not found.group():
            return at, named
        if _header_name(found) == id_header:
            named = found.group(2).strip(_BLANKS)
    return start, b''


def _header_name(line: re.Match[bytes]) -> bytes:
    """Return the lower-case name in a header line; empty in a status line."""
    return b'' if line.re is _STATUS_LINE else line.group(1).lower()


def _may_be_cut(
    received: bytes, start: int, at: int, pattern: re.Pattern[bytes]
) -> bool:
    """Return whether a head may go on behind the last bytes received.

    Args:
        received: The bytes.
        start: Where the head starts.
        at: Where its last line starts, which has no end yet.
        pattern: What that line has to look like.
    """
    is_short = len(received) - start < _MAX_HEAD_BYTES
    return is_short and _may_start_line(received[at:], pattern)


def _may_start_line(octets: bytes, pattern: re.Pattern[bytes]) -> bool:
    """Return whether bytes without a line end may begin a line of a head."""
    if pattern is _HEADER_LINE:
        return b'\n' not in octets
    shortest = b'HTTP/1.1 200'
    padded = octets + shortest[len(octets) :]
    return b'\n' not in octets and bool(_STATUS_START.match(padded))


def _partial_prefix_bytes(received: bytes) -> int:
    """Return how many of the last bytes may be the start of a head."""
    for size in range(len(_PREFIX) - 1, 0, -1):
        if received.endswith(_PREFIX[:size]):
            return size
    return 0
