"""Probes for the pace of the target beside a node, on one connection."""

from collections.abc import Callable
from typing import Any

from daisyline.coordination.admission.pace_events import TargetPaceReported
from daisyline.protocol.dialect import Dialect, parse_pace
from daisyline.protocol.http_client import ClientCodec
from daisyline.protocol.http_messages import (
    BrokenAnswer,
    End,
    Head,
    Part,
    Request,
)
from daisyline.state.targets import Target
from daisyline.transport.loop import Loop
from daisyline.transport.sockets import Connection

# The time limit for the answer to a connection.
_PROBE_TIMEOUT_S = 0.5


class TargetProber:
    """Sends probes on one connection, at most one probe at a time."""

    def __init__(
        self, loop: Loop, on_event: Callable[[Any], None], dialect: Dialect
    ) -> None:
        """Start without a connection."""
        self._loop = loop
        self._on_event = on_event
        self._dialect = dialect
        self._connection: _ProbeConnection | None = None

    def send_probe(self, target: Target, path: str) -> None:
        """Send a probe; an answer that states a pace is reported.

        A connection that is busy or leads to another target is replaced.

        Args:
            target: The target.
            path: The path that is requested.
        """
        connection = self._connection
        if (
            connection is None
            or not connection.is_free
            or connection.target != target
        ):
            if connection is not None:
                connection.close()
            connection = self._dial(target)
        if connection is not None:
            connection.send(path)

    def _dial(self, target: Target) -> '_ProbeConnection | None':
        try:
            connection = Connection.dial(self._loop, target.host, target.port)
        except OSError:
            # The process has no file descriptor left. No pace is reported, and
            # the call is started without a pace check.
            return None
        self._connection = _ProbeConnection(
            self._loop, connection, target, self._dialect, self._on_event
        )
        return self._connection


class _ProbeConnection:
    """A connection for probes.

    Attributes:
        target: The target at the other end.
    """

    def __init__(
        self,
        loop: Loop,
        connection: Connection,
        target: Target,
        dialect: Dialect,
        on_event: Callable[[Any], None],
    ) -> None:
        """Wrap a TCP connection that is being established."""
        self._loop = loop
        self._connection = connection
        self._dialect = dialect
        self._on_event = on_event
        self._codec = ClientCodec()
        self._awaits_answer = False
        self._timeout = loop.call_later(_PROBE_TIMEOUT_S, connection.abort)
        self.target = target
        connection.handler = self

    @property
    def is_free(self) -> bool:
        """Return whether the connection can carry a probe now."""
        return self._connection.is_open and not self._awaits_answer

    def send(self, path: str) -> None:
        """Send a probe and start its time limit."""
        self._awaits_answer = True
        self._timeout.cancel()
        self._timeout = self._loop.call_later(
            _PROBE_TIMEOUT_S, self._connection.abort
        )
        request = Request(b'GET', path.encode(), (), b'')
        self._connection.write(self._codec.request(request))

    def close(self) -> None:
        """Close the connection at once."""
        self._connection.abort()

    def handle_connected(self) -> None:
        """Do nothing; the probe is already buffered."""

    def handle_bytes(self, octets: bytes) -> None:
        """Decode an answer or a part of it; report its head."""
        if not self._awaits_answer:
            self._connection.abort()
            return
        self._codec.feed(octets)
        event = self._codec.next_event()
        while isinstance(event, (Head, Part)):
            if isinstance(event, Head):
                self._report(event)
            event = self._codec.next_event()
        if isinstance(event, End) and event.is_reusable:
            self._awaits_answer = False
            self._timeout.cancel()
        elif isinstance(event, (End, BrokenAnswer)):
            self._connection.abort()

    def handle_eof(self) -> None:
        """Close the connection too."""
        self._connection.abort()

    def handle_drained(self) -> None:
        """Do nothing; probes are small."""

    def handle_closed(self) -> None:
        """Cancel the time limit."""
        self._timeout.cancel()
        self._awaits_answer = False

    def _report(self, head: Head) -> None:
        percent = parse_pace(head, self._dialect)
        if percent:
            self._on_event(TargetPaceReported(percent))
