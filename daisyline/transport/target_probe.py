"""Asks the target beside a node how fast it works, on one connection."""

from collections.abc import Callable
from typing import Any

from daisyline.coordination.pace_events import TargetPaceReported
from daisyline.protocol.dialect import Dialect, pace_from
from daisyline.protocol.http_client import ClientCodec
from daisyline.protocol.http_messages import Broken, End, Head, Part, Request
from daisyline.state.targets import Target
from daisyline.transport.loop import Loop
from daisyline.transport.sockets import Connection

# A probe that hasn't been answered by then is given up, in seconds.
_ANSWER_S = 0.5


class TargetProbe:
    """Keeps one connection for probes; at most one probe is under way."""

    def __init__(
        self, loop: Loop, on_event: Callable[[Any], None], dialect: Dialect
    ) -> None:
        """Start without a connection."""
        self._loop = loop
        self._on_event = on_event
        self._dialect = dialect
        self._exchange: _Probe | None = None

    def ask(self, target: Target, path: str) -> None:
        """Send a probe; a `TargetPaceReported` follows if it is answered."""
        probe = self._exchange
        if probe is None or not probe.is_free or probe.target != target:
            if probe is not None:
                probe.close()
            probe = self._dial(target)
        if probe is not None:
            probe.send(path)

    def _dial(self, target: Target) -> '_Probe | None':
        try:
            connection = Connection.dial(self._loop, target.host, target.port)
        except OSError:
            # The process has no descriptor left; the call starts without a check.
            return None
        self._exchange = _Probe(
            self._loop, connection, target, self._dialect, self._on_event
        )
        return self._exchange


class _Probe:
    """The connection of the probes.

    Attributes:
        target: What it leads to.
    """

    def __init__(
        self,
        loop: Loop,
        connection: Connection,
        target: Target,
        dialect: Dialect,
        on_event: Callable[[Any], None],
    ) -> None:
        """Take a connection that is being made."""
        self._loop = loop
        self._connection = connection
        self._dialect = dialect
        self._on_event = on_event
        self._codec = ClientCodec()
        self._waiting = False
        self._timeout = loop.call_later(_ANSWER_S, connection.abort)
        self.target = target
        connection.handler = self

    @property
    def is_free(self) -> bool:
        """Return whether it can carry a probe."""
        return self._connection.is_open and not self._waiting

    def send(self, path: str) -> None:
        """Send a probe."""
        self._waiting = True
        self._timeout.cancel()
        self._timeout = self._loop.call_later(_ANSWER_S, self._connection.abort)
        request = Request(b'GET', path.encode(), (), b'')
        self._connection.write(self._codec.request(request))

    def close(self) -> None:
        """Close the connection."""
        self._connection.abort()

    def handle_connected(self) -> None:
        """Do nothing; the probe is already buffered."""

    def handle_bytes(self, octets: bytes) -> None:
        """Take an answer, or a part of it."""
        if not self._waiting:
            self._connection.abort()
            return
        self._codec.feed(octets)
        event = self._codec.next_event()
        while isinstance(event, (Head, Part)):
            if isinstance(event, Head):
                self._report(event)
            event = self._codec.next_event()
        if isinstance(event, End) and event.reusable:
            self._waiting = False
            self._timeout.cancel()
        elif isinstance(event, (End, Broken)):
            self._connection.abort()

    def handle_eof(self) -> None:
        """Close too."""
        self._connection.abort()

    def handle_drained(self) -> None:
        """Do nothing; probes are small."""

    def handle_closed(self) -> None:
        """Stop waiting."""
        self._timeout.cancel()
        self._waiting = False

    def _report(self, head: Head) -> None:
        percent = pace_from(head, self._dialect)
        if percent:
            self._on_event(TargetPaceReported(percent))
