"""An open-loop caller with a fixed mean rate over keep-alive connections."""

import functools
import itertools
import random
from collections.abc import Callable
from typing import Any

import attrs

from daisyline.transport.loop import Loop
from standins.http import LostCall, Message
from standins.http_client import ClientPool
from standins.tally import Ending, Tally

ID_HEADER = 'x-call-id'
OUTCOME_HEADER = 'daisyline-outcome'
SUCCESS_CLASS = 2
STATUSES_PER_CLASS = 100
MS_PER_S = 1000
# The poller rounds up to whole milliseconds, so a timer may be this late.
TIMER_GRAIN_S = 0.001


@attrs.frozen
class CallPlan:
    """The calls of one caller and their rate.

    Attributes:
        service: The service to call.
        rate: The mean number of calls per second.
        path: The path of each call.
        method: The method of each call.
        tenant: The tenant in `X-Tenant`; empty to omit the header.
        delay_ms: The one-way latency to the entry node, in milliseconds.
        seed: Seeds the random times of sending.
        label: Distinguishes the call ids of different callers.
    """

    service: str
    rate: float
    path: str = '/stock'
    method: str = 'GET'
    tenant: str = ''
    delay_ms: float = 0
    seed: int = 1
    label: str = 'call'

    def request(self, call_id: str) -> Message:
        """Return the request of one call."""
        headers = {'Host': self.service, 'X-Call-Id': call_id}
        if self.tenant:
            headers['X-Tenant'] = self.tenant
        return Message(self.method, self.path, headers=headers)


@attrs.frozen
class EndedCall:
    """An ended call, for comparison with the records of targets.

    Attributes:
        call_id: The id in `X-Call-Id`.
        method: The request's method.
        ending: How the call ended for the caller.
        intended_at: The scheduled time of sending, in monotonic seconds; up to
            `TIMER_GRAIN_S` later than the exact time.
        ended_at: The time of the end, in monotonic seconds.
    """

    call_id: str
    method: str
    ending: Ending
    intended_at: float
    ended_at: float


@functools.singledispatch
def ending_of(outcome: Any, call_id: str) -> Ending:
    """Return how a call ended for the caller.

    Raises:
        TypeError: If the outcome is neither an answer nor a lost call.
    """
    raise TypeError(f'unknown outcome {outcome!r}')


@ending_of.register
def _(outcome: LostCall, call_id: str) -> Ending:
    return Ending.CUT


@ending_of.register
def _(outcome: Message, call_id: str) -> Ending:
    refused = outcome.headers.get(OUTCOME_HEADER)
    if refused is not None:
        return Ending(refused)
    if outcome.status // STATUSES_PER_CLASS != SUCCESS_CLASS:
        return Ending.FAILED
    content = outcome.json() or {}
    echoed = (outcome.headers.get(ID_HEADER), content.get('call'))
    return Ending.ANSWERED if echoed == (call_id, call_id) else Ending.WRONG


class Caller:
    """Sends calls at a fixed mean rate, without waiting for answers."""

    def __init__(
        self, loop: Loop, plan: CallPlan, entries: list[tuple[str, int]]
    ) -> None:
        """Prepare to call through the entry nodes in turn; nothing is sent."""
        self.plan = plan
        self.tally = Tally()
        self.on_end: Callable[[EndedCall], None] = _ignore
        self._loop = loop
        self._pools = itertools.cycle(
            [ClientPool(loop, host, port) for host, port in entries]
        )
        self._prefix = f'{plan.service}-{plan.label}'
        self._random = random.Random(f'{self._prefix}-{plan.seed}')
        self._numbers = itertools.count(1)
        self._next_at = float(0)
        self._until = float(0)

    @property
    def is_done(self) -> bool:
        """Return whether all calls have been sent and have ended."""
        return self._next_at >= self._until and not self.tally.pending

    def start(self, seconds: float) -> None:
        """Send calls for a number of seconds from now."""
        now = self._loop.now()
        self._next_at = now
        self._until = now + seconds
        self._send_scheduled()

    def _send_scheduled(self) -> None:
        """Send the calls whose scheduled time has come, each with that time.

        A delay beyond the grain of timers counts towards the latency, so that
        the figures show if the caller itself is late.
        """
        while self._next_at <= self._loop.now() and not self._is_over:
            self._send(min(self._next_at + TIMER_GRAIN_S, self._loop.now()))
            self._next_at += self._random.expovariate(self.plan.rate)
        if not self._is_over:
            delay_s = max(0, self._next_at - self._loop.now())
            self._loop.call_later(delay_s, self._send_scheduled)

    @property
    def _is_over(self) -> bool:
        return self._next_at >= self._until

    def _send(self, intended_at: float) -> None:
        self.tally.sent += 1
        call_id = f'{self._prefix}-{next(self._numbers)}'
        send_request = functools.partial(
            self._send_request, call_id, intended_at
        )
        self._after_delay(send_request)

    def _send_request(self, call_id: str, intended_at: float) -> None:
        handle_outcome = functools.partial(
            self._handle_outcome, call_id, intended_at
        )
        next(self._pools).call(self.plan.request(call_id), handle_outcome)

    def _handle_outcome(
        self, call_id: str, intended_at: float, outcome: Message | LostCall
    ) -> None:
        ending = ending_of(outcome, call_id)
        self._after_delay(
            functools.partial(self._record_end, call_id, intended_at, ending)
        )

    def _record_end(
        self, call_id: str, intended_at: float, ending: Ending
    ) -> None:
        now = self._loop.now()
        self.tally.end(ending, now - intended_at)
        method = self.plan.method
        self.on_end(EndedCall(call_id, method, ending, intended_at, now))

    def _after_delay(self, function: Callable[[], None]) -> None:
        """Call a function after the latency between client and entry node."""
        if self.plan.delay_ms:
            self._loop.call_later(self.plan.delay_ms / MS_PER_S, function)
        else:
            function()


def _ignore(_ended: EndedCall) -> None:
    """Do nothing."""
