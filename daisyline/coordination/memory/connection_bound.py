"""How many connections clients may have open, and which one gives way."""

from collections.abc import Iterable
from typing import Protocol, TypeVar

# Descriptors of a machine that are left for files.
RESERVED_DESCRIPTORS = 200
# The parts of the others that callers and the target may take. The rest is for
# streams to nodes, connections to the target, operators and the platform.
CALLERS_SHARE = 0.6
TARGET_SHARE = 0.25
# Some are allowed in any case.
_MIN_CONNECTIONS = 16
_MAX_CONNECTIONS = 100_000


class ClientConnection(Protocol):
    """A connection that a client has opened."""

    @property
    def has_calls(self) -> bool:
        """Return whether a request of the connection is in progress."""

    @property
    def is_busy(self) -> bool:
        """Return whether a part of a request was received, or one runs."""

    @property
    def active_at(self) -> float:
        """Return when it last received bytes, in monotonic seconds."""


Connections = TypeVar('Connections', bound=ClientConnection)


def connection_bound(descriptors: int, share: float) -> int:
    """Return how many connections one kind of clients may have open.

    Args:
        descriptors: The descriptors that the process may open; negative if
            they are not limited.
        share: The part of them for these clients.
    """
    if descriptors < 0:
        return _MAX_CONNECTIONS
    bound = int((descriptors - RESERVED_DESCRIPTORS) * share)
    return min(max(bound, _MIN_CONNECTIONS), _MAX_CONNECTIONS)


def choose_closed(connections: Iterable[Connections]) -> Connections | None:
    """Return the connection that gives way to a new one, or None.

    It is the one whose request is unfinished for the longest time, else the
    one that is idle for the longest time. Requests in progress go on.
    """
    waiting = [each for each in connections if not each.has_calls]
    unfinished = [each for each in waiting if each.is_busy]
    return min(
        unfinished or waiting, key=lambda each: each.active_at, default=None
    )
