"""Resets a connection once its peer has what it still has to get."""

from daisyline.transport.loop import Loop
from daisyline.transport.socket_options import READ_STALL_TIMEOUT_S
from daisyline.transport.sockets import Connection

# The reset comes at the latest when the peer has received nothing for so long.
STALL_TIMEOUT_S = READ_STALL_TIMEOUT_S
# The kernel does not report acknowledgements, so it is asked for them.
_CHECK_INTERVAL_S = 0.02


class DelayedReset:
    """The reset of a connection, which discards what is not acknowledged."""

    def __init__(self, loop: Loop, connection: Connection) -> None:
        """Wait for `start`."""
        self._loop = loop
        self._connection = connection
        self._is_started = False
        self._unneeded_bytes = 0
        self._undelivered_bytes = 0
        self._stalls_at = loop.now()

    def start(self, unneeded_bytes: int) -> None:
        """Reset once the peer has what was written, but for the last bytes.

        Args:
            unneeded_bytes: The number of last bytes that the peer may lose.
        """
        if self._is_started:
            return
        self._is_started = True
        self._unneeded_bytes = unneeded_bytes
        self._undelivered_bytes = self._connection.undelivered_bytes
        self._stalls_at = self._loop.now() + STALL_TIMEOUT_S
        self._check()

    def _check(self) -> None:
        now = self._loop.now()
        undelivered_bytes = self._connection.undelivered_bytes
        if undelivered_bytes < self._undelivered_bytes:
            self._undelivered_bytes = undelivered_bytes
            self._stalls_at = now + STALL_TIMEOUT_S
        if undelivered_bytes <= self._unneeded_bytes or now >= self._stalls_at:
            self._connection.reset()
        else:
            self._loop.call_later(_CHECK_INTERVAL_S, self._check)
