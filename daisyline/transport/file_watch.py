"""Detects changes of a file by polling."""

import os
from collections.abc import Callable

from daisyline.transport.loop import Loop

# The platform allows 2 s until a change is in force; this interval uses half of
# it. One check takes a few microseconds.
CHECK_INTERVAL_S = 1.0

_FileStamp = tuple[int, int, int]


class FileWatcher:
    """Compares the modification time, size and inode at an interval."""

    def __init__(
        self, loop: Loop, path: str, on_change: Callable[[], None]
    ) -> None:
        """Start from the present state of the file."""
        self._loop = loop
        self._path = path
        self._on_change = on_change
        self._stamp = _read_stamp(path)
        loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        stamp = _read_stamp(self._path)
        # A file may be missing briefly while it is replaced.
        if stamp is not None and stamp != self._stamp:
            self._stamp = stamp
            self._on_change()
        self._loop.call_later(CHECK_INTERVAL_S, self._check)


def _read_stamp(path: str) -> _FileStamp | None:
    try:
        status = os.stat(path)
    except OSError:
        return None
    return (status.st_mtime_ns, status.st_size, status.st_ino)
