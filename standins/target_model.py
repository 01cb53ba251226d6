"""A model of a target without I/O: slots, cold starts, faults and records."""

import functools
import random
from typing import Any

import attrs

from standins.target_messages import (
    CallCancelled,
    CallReceived,
    CallService,
    ChainedCallEnded,
    ConnectionClosed,
    ConnectionOpened,
    Crash,
    Drain,
    LoadRequested,
    Reply,
    Stop,
    Wait,
    WaitEnded,
)
from standins.target_plan import TargetFaults, TargetPlan
from standins.target_records import Records

MS_PER_S = 1000
# Time for which a new connection or a probe occupies the target's processor.
CONNECT_COST_S = 0.001
PROBE_COST_S = 0.005
# A cold target that gets too many calls at once fails all calls for this time.
COLD_FAILURE_S = 2.0
POISON_PATH = '/poison'
CHAIN_PREFIX = '/chain/'
PIPELINES_PREFIX = '/pipelines/'
# Answers below this path break off.
BROKEN_PREFIX = '/pipelines/broken/'

OK = 200
FAILED = 500
TIMED_OUT = 504


@attrs.frozen
class _Run:
    """A running call and the HTTP status of its planned answer."""

    call: CallReceived
    status: int


@attrs.define
class TargetModel:
    """Simulates a target's calls and records its calls and connections.

    Attributes:
        plan: The capacity and service times of the target.
        random: The source of random service times and failures.
        faults: The faults that apply now.
        cold_left: The number of calls that the cold start will still slow down.
        leaving: Whether the target has been asked to leave.
        records: The calls and connections seen, and the limits exceeded.
    """

    plan: TargetPlan
    random: random.Random
    faults: TargetFaults = attrs.field(factory=TargetFaults)
    cold_left: int = 0
    leaving: bool = False
    records: Records = attrs.field(factory=Records)
    _running: dict[Any, _Run] = attrs.field(factory=dict)
    _busy_until: float = 0
    _failed_until: float = 0
    _load_sample: tuple[float, int] = (0, 0)

    @classmethod
    def from_plan(cls, plan: TargetPlan, seed: int) -> 'TargetModel':
        """Return a model of a target that has just started."""
        return cls(plan, random.Random(seed), cold_left=plan.cold_calls)

    @property
    def running(self) -> int:
        """Return the number of running calls."""
        return len(self._running)

    @property
    def phase(self) -> str:
        """Return the phase to announce: `cold`, `ready` or `leaving`."""
        if self.leaving:
            return 'leaving'
        return 'cold' if self.cold_left else 'ready'

    def turn_cold(self) -> None:
        """Slow down the next calls, as after a start."""
        self.cold_left = self.plan.cold_calls

    @functools.singledispatchmethod
    def handle(self, message: Any, now: float) -> list[Any]:
        """Handle one message and return the effects to carry out.

        Raises:
            TypeError: If the type of the message is unknown.
        """
        raise TypeError(f'unknown message {message!r}')

    @handle.register
    def _handle_connection(
        self, message: ConnectionOpened, now: float
    ) -> list[Any]:
        self._occupy(CONNECT_COST_S, now)
        self.records.record_connection(self.plan.connections, now)
        return []

    @handle.register
    def _handle_disconnection(
        self, message: ConnectionClosed, now: float
    ) -> list[Any]:
        self.records.record_disconnection()
        return []

    @handle.register
    def _handle_call(self, message: CallReceived, now: float) -> list[Any]:
        if message.path.startswith(POISON_PATH):
            return [Crash()]
        self._running[message.token] = _Run(message, OK)
        self.records.record_start(message, self.running, now)
        self._check_bounds(now)
        if self._fails_now(message, now):
            return self._end(message.token, FAILED)
        seconds = max(0, self._busy_until - now) + self._service_s(message.path)
        if self.cold_left:
            self.cold_left -= 1
        budget_ms = message.budget_ms
        if budget_ms is not None and budget_ms < seconds * MS_PER_S:
            self._running[message.token] = _Run(message, TIMED_OUT)
            seconds = budget_ms / MS_PER_S
        return [Wait(message.token, seconds)]

    @handle.register
    def _handle_wait_end(self, message: WaitEnded, now: float) -> list[Any]:
        run = self._running.get(message.token)
        if run is None:
            return []
        hops = hops_of(run.call.path) - 1
        if hops >= 0 and run.status == OK:
            path = f'{CHAIN_PREFIX}{hops}'
            return [CallService(message.token, path)]
        return self._end(message.token, run.status)

    @handle.register
    def _handle_chained_call_end(
        self, message: ChainedCallEnded, now: float
    ) -> list[Any]:
        return self._end(message.token, message.status or TIMED_OUT)

    @handle.register
    def _handle_cancellation(
        self, message: CallCancelled, now: float
    ) -> list[Any]:
        run = self._running.pop(message.token, None)
        if run is not None:
            self.records.record_cancellation(run.call)
        return self._stop_if_idle()

    @handle.register
    def _handle_load_request(
        self, message: LoadRequested, now: float
    ) -> list[Any]:
        self._occupy(PROBE_COST_S, now)
        self.records.probes += 1
        return [Reply(message.token, OK, {'running': self._load(now)})]

    @handle.register
    def _handle_drain(self, message: Drain, now: float) -> list[Any]:
        self.leaving = True
        self.records.record_leaving(now)
        return self._stop_if_idle()

    def _occupy(self, seconds: float, now: float) -> None:
        """Occupy the processor for some seconds, which delays later calls."""
        self._busy_until = max(self._busy_until, now) + seconds

    def _load(self, now: float) -> int:
        """Return the number of running calls at the last sample of the load."""
        sampled_at, _running = self._load_sample
        if now - sampled_at >= self.plan.load_lag_s:
            self._load_sample = (now, self.running)
        return 0 if self.faults.misleading_load else self._load_sample[1]

    def _check_bounds(self, now: float) -> None:
        """Record a load above the bounds.

        A cold target above its bound fails all calls for `COLD_FAILURE_S`.
        """
        if self.cold_left and self.running > self.plan.cold_bound:
            self.records.record_violation('cold', now, self.running)
            self._failed_until = now + COLD_FAILURE_S
        elif self.running > self.plan.slots:
            self.records.record_violation('slots', now, self.running)

    def _fails_now(self, message: CallReceived, now: float) -> bool:
        """Return whether a call fails at once, because of load or a fault."""
        if now < self._failed_until:
            return True
        is_affected = self.faults.applies_to(message.path, self.running)
        return is_affected and self.random.random() < self.faults.fail_fast

    def _service_s(self, path: str) -> float:
        """Return a random service time under the current load, in seconds."""
        seconds = self.plan.service_s(path, self.random)
        if self.cold_left:
            seconds *= self.plan.cold_factor
        if self.faults.applies_to(path, self.running):
            seconds *= self.faults.slow_factor
        return seconds * max(1, self.running / self.plan.slots)

    def _end(self, token: Any, status: int) -> list[Any]:
        """End a running call and return the effects, among them its answer."""
        run = self._running.pop(token, None)
        if run is None:
            return []
        call = run.call
        self.records.record_answer(call, status)
        content = {
            'call': call.call_id,
            'path': call.path,
            'service': self.plan.service,
            'version': self.plan.version,
        }
        return [Reply(token, status, content), *self._stop_if_idle()]

    def _stop_if_idle(self) -> list[Any]:
        return [Stop()] if self.leaving and not self._running else []


def hops_of(path: str) -> int:
    """Return the number of chained calls that a path asks for."""
    if not path.startswith(CHAIN_PREFIX):
        return 0
    text = path.removeprefix(CHAIN_PREFIX)
    return int(text) if text.isdigit() else 0
