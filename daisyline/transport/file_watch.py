"""Notice that a file has changed, without a signal."""

import os
from collections.abc import Callable

from daisyline.transport.loop import Loop

# Reading the file's times costs some microseconds; a change is then in force
# within half of the 2 s that the platform allows.
CHECK_S = 1.0

_Mark = tuple[int, int, int]


class FileWatcher:
    """Looks at a file's times and size again and again."""

    def __init__(
        self, loop: Loop, path: str, on_change: Callable[[], None]
    ) -> None:
        """Take the file as it is now."""
        self._loop = loop
        self._path = path
        self._on_change = on_change
        self._seen = _mark_of(path)
        loop.call_later(CHECK_S, self._check)

    def _check(self) -> None:
        mark = _mark_of(self._path)
        # A file that is being replaced may be missing for a moment.
        if mark is not None and mark != self._seen:
            self._seen = mark
            self._on_change()
        self._loop.call_later(CHECK_S, self._check)


def _mark_of(path: str) -> _Mark | None:
    try:
        found = os.stat(path)
    except OSError:
        return None
    return (found.st_mtime_ns, found.st_size, found.st_ino)
