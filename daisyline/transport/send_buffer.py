"""The bytes of one connection that wait to be sent."""

from collections import deque

# Longer pieces are kept as they are, without a copy.
_COPIED_BYTES = 65_536


class SendBuffer:
    """A queue of bytes whose cost grows with the bytes, not their square."""

    def __init__(self) -> None:
        """Start empty."""
        self._pieces: deque[memoryview] = deque()
        # Short pieces are gathered here until the earlier ones are sent.
        self._tail = bytearray()
        self._size = 0

    def __len__(self) -> int:
        """Return the number of bytes that wait."""
        return self._size

    def append(self, octets: bytes | memoryview) -> None:
        """Add bytes at the end; they must not change afterwards."""
        self._size += len(octets)
        if len(octets) < _COPIED_BYTES:
            self._tail += octets
            return
        self._close_tail()
        self._pieces.append(memoryview(octets))

    def first(self, limit: int) -> memoryview:
        """Return bytes from the start, up to a limit; some wait if any do."""
        if not self._pieces:
            self._close_tail()
        return self._pieces[0][:limit]

    def remove(self, count: int) -> None:
        """Remove sent bytes, no more than `first` returned."""
        self._size -= count
        rest = self._pieces[0][count:]
        if rest:
            self._pieces[0] = rest
        else:
            self._pieces.popleft()

    def clear(self) -> None:
        """Discard all bytes."""
        self._pieces.clear()
        self._tail = bytearray()
        self._size = 0

    def _close_tail(self) -> None:
        if self._tail:
            self._pieces.append(memoryview(self._tail))
            self._tail = bytearray()
