"""An open-loop caller of a soak run that records every attempt."""

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
    AttemptResult,
    CallStream,
    classify,
    is_resent,
    request_of,
)
from standins.soak_records import Attempt

# Longer than a node may take, given the deadline in the request.
CALL_TIMEOUT_S = 5.0
RESEND_DELAY_S = 0.3
MAX_ATTEMPTS = 8
MS_PER_S = 1000


@attrs.frozen
class EntryPool:
    """The connections of one caller to a node.

    Attributes:
        place: The place of the node.
        pool: The pool of connections.
    """

    place: str
    pool: ClientPool


class SoakCaller:
    """Sends one stream of calls through all nodes in round-robin order.

    Attributes:
        pending: Calls that have not ended.
    """

    def __init__(
        self,
        loop: Loop,
        stream: CallStream,
        ports: dict[str, int],
        on_attempt: Callable[[Attempt], None],
    ) -> None:
        """Create a caller that sends nothing yet.

        Args:
            loop: The loop of the run.
            stream: The calls to send.
            ports: The port for callers of each place.
            on_attempt: Called with each attempt when it ends.
        """
        self.pending = 0
        self._loop = loop
        self._stream = stream
        self._on_attempt = on_attempt
        self._entries = [
            EntryPool(place, ClientPool(loop, HOST, port))
            for place, port in ports.items()
        ]
        self._next_entries = itertools.cycle(self._entries)
        self._random = random.Random(stream.label)
        self._numbers = itertools.count(1)
        self._is_running = False

    def start(self) -> None:
        """Send calls until `stop`."""
        self._is_running = True
        self._schedule_next()

    def stop(self) -> None:
        """Send no new calls; open ones continue."""
        self._is_running = False

    def close_idle(self) -> None:
        """Close the idle connections, as some may be silent."""
        for entry in self._entries:
            entry.pool.close()

    def send(self) -> None:
        """Send one call."""
        number = next(self._numbers)
        label = self._stream.label
        call_id = f'{label}-{number}'
        self.pending += 1
        self._send(call_id, number, MAX_ATTEMPTS)

    def _schedule_next(self) -> None:
        gap_s = self._random.expovariate(1)
        gap_s *= self._stream.gap_ms / MS_PER_S
        self._loop.call_later(gap_s, self._send_next)

    def _send_next(self) -> None:
        if self._is_running:
            self.send()
            self._schedule_next()

    def _send(self, call_id: str, number: int, attempts_left: int) -> None:
        request = request_of(self._stream.kind, call_id, number)
        entry = next(self._next_entries)
        open_attempt = _OpenAttempt(
            entry.place, number, attempts_left, self._loop.now(), request
        )
        on_end = functools.partial(self._handle_end, open_attempt)
        client = entry.pool.call(request, on_end)
        if not open_attempt.ended:
            open_attempt.timeout = self._loop.call_later(
                CALL_TIMEOUT_S, client.connection.abort
            )

    def _handle_end(
        self, open_attempt: '_OpenAttempt', outcome: Message | LostCall
    ) -> None:
        """Record the result of an attempt, and re-send the call if needed."""
        open_attempt.ended = True
        if open_attempt.timeout is not None:
            open_attempt.timeout.cancel()
        result = classify(outcome, open_attempt.call_id)
        self._on_attempt(open_attempt.to_attempt(result, self._loop.now()))
        is_resend_wanted = is_resent(self._stream.kind, result)
        if open_attempt.attempts_left > 1 and is_resend_wanted:
            resend = functools.partial(
                self._send,
                open_attempt.call_id,
                open_attempt.number,
                open_attempt.attempts_left - 1,
            )
            self._loop.call_later(RESEND_DELAY_S, resend)
        else:
            self.pending -= 1


@attrs.define(eq=False)
class _OpenAttempt:
    """An attempt that has not ended."""

    entry: str
    number: int
    attempts_left: int
    sent_at: float
    request: Message
    ended: bool = False
    timeout: Deadline | None = None

    @property
    def call_id(self) -> str:
        return self.request.headers['X-Call-Id']

    def to_attempt(self, result: AttemptResult, now: float) -> Attempt:
        return Attempt(
            call_id=self.call_id,
            method=self.request.method,
            path=self.request.path,
            entry=self.entry,
            sent_at=self.sent_at,
            ended_at=now,
            ending=result.ending,
            reason=result.reason,
        )
