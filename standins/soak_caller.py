"""An open-loop caller of a soak run; it notes every sending and its end."""

import functools
import itertools
import random
from collections.abc import Callable

import attrs

from daisyline.transport.deadlines import Deadline
from daisyline.transport.loop import Loop
from standins.http import LostCall, Message
from standins.http_client import ClientPool
from standins.processes import HOST
from standins.soak_calls import (
    Seen,
    Stream,
    is_sent_again,
    judge,
    request_of,
)
from standins.soak_records import Attempt

# Longer than a node may take to answer by the deadline that is asked for.
GIVE_UP_S = 5.0
PAUSE_S = 0.3
MAX_SENDINGS = 8
MS_PER_S = 1000


@attrs.frozen
class Entry:
    """Connections to one node.

    Attributes:
        place: The place of the node.
        pool: Connections that one caller keeps to it.
    """

    place: str
    pool: ClientPool


class SoakCaller:
    """Sends one stream of calls through all nodes in turn.

    Attributes:
        pending: Calls that have not ended.
    """

    def __init__(
        self,
        loop: Loop,
        stream: Stream,
        ports: dict[str, int],
        on_attempt: Callable[[Attempt], None],
    ) -> None:
        """Prepare; nothing is sent.

        Args:
            loop: The loop of the run.
            stream: What is sent.
            ports: The callers' port of each place.
            on_attempt: Called with each sending as it ends.
        """
        self.pending = 0
        self._loop = loop
        self._stream = stream
        self._on_attempt = on_attempt
        self._entries = [
            Entry(place, ClientPool(loop, HOST, port))
            for place, port in ports.items()
        ]
        self._turns = itertools.cycle(self._entries)
        self._random = random.Random(stream.label)
        self._numbers = itertools.count(1)
        self._going = False

    def start(self) -> None:
        """Send calls until told to stop."""
        self._going = True
        self._wait()

    def stop(self) -> None:
        """Send no new calls; those under way go on."""
        self._going = False

    def drop_idle(self) -> None:
        """Close the idle connections, as one of them may be silent."""
        for entry in self._entries:
            entry.pool.close()

    def send(self) -> None:
        """Send one call."""
        number = next(self._numbers)
        label = self._stream.label
        call_id = f'{label}-{number}'
        self.pending += 1
        self._send(call_id, number, MAX_SENDINGS)

    def _wait(self) -> None:
        gap_s = self._random.expovariate(1)
        gap_s *= self._stream.gap_ms / MS_PER_S
        self._loop.call_later(gap_s, self._send_next)

    def _send_next(self) -> None:
        if self._going:
            self.send()
            self._wait()

    def _send(self, call_id: str, number: int, left: int) -> None:
        request = request_of(self._stream.kind, call_id, number)
        entry = next(self._turns)
        sending = _Sending(entry.place, number, left, self._loop.now(), request)
        over = functools.partial(self._over, sending)
        client = entry.pool.call(request, over)
        if not sending.ended:
            sending.timeout = self._loop.call_later(
                GIVE_UP_S, client.connection.abort
            )

    def _over(self, sending: '_Sending', outcome: Message | LostCall) -> None:
        """Note how a sending ended; send again if its caller would."""
        sending.ended = True
        if sending.timeout is not None:
            sending.timeout.cancel()
        seen = judge(outcome, sending.call_id)
        self._on_attempt(sending.attempt(seen, self._loop.now()))
        wanted = is_sent_again(self._stream.kind, seen)
        if sending.left > 1 and wanted:
            again = functools.partial(
                self._send, sending.call_id, sending.number, sending.left - 1
            )
            self._loop.call_later(PAUSE_S, again)
        else:
            self.pending -= 1


@attrs.define(eq=False)
class _Sending:
    """One sending of a call that is under way."""

    entry: str
    number: int
    left: int
    sent_at: float
    request: Message
    ended: bool = False
    timeout: Deadline | None = None

    @property
    def call_id(self) -> str:
        return self.request.headers['X-Call-Id']

    def attempt(self, seen: Seen, now: float) -> Attempt:
        return Attempt(
            call_id=self.call_id,
            method=self.request.method,
            path=self.request.path,
            entry=self.entry,
            sent_at=self.sent_at,
            ended_at=now,
            ending=seen.ending,
            reason=seen.reason,
        )
