"""Detects changes of a file by polling."""

import os
from collections.abc import Callable

from daisyline.protocol.front_end import FileStamp
from daisyline.transport.loop import Loop

# The platform allows 2 s until a change is in force; this interval uses half of
# it. One check takes a few microseconds.
CHECK_INTERVAL_S = 1.0


class FileWatcher:
    """Compares the modification time, size and inode at an interval."""

    def __init__(
        self,
        loop: Loop,
        path: str,
        on_change: Callable[[], None],
        stamp: FileStamp | None,
    ) -> None:
        """Start from the state of the file when its content was read.

        Args:
            loop: The loop.
            path: The path of the file.
            on_change: Called after each change.
            stamp: The state of the file; None if it is not known.
        """
        self._loop = loop
        self._path = path
        self._on_change = on_change
        self._stamp = stamp
        loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        stamp = read_stamp(self._path)
        # A file may be missing briefly while it is replaced.
        if stamp is not None and stamp != self._stamp:
            self._stamp = stamp
            self._on_change()
        self._loop.call_later(CHECK_INTERVAL_S, self._check)


def read_stamp(path: str) -> FileStamp | None:
    """Return the state of a file, or None if it can't be read."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return (status.st_mtime_ns, status.st_size, status.st_ino)
