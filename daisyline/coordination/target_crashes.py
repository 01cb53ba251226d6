"""Crashes of the target beside a node, and which requests may run there.

Finds out which requests were in flight at a crash, reports them to the
quarantine, and refuses requests that the quarantine stops.
"""

import itertools
import math
from collections import deque
from collections.abc import Iterator

import attrs

from daisyline.coordination import internal_effects
from daisyline.coordination.calls import call_events as ev
from daisyline.coordination.calls import messages as msg
from daisyline.coordination.calls.fingerprint import fingerprint
from daisyline.coordination.calls.quarantine import (
    ANSWERED_KIND,
    Quarantine,
)
from daisyline.coordination.calls.target_side import TargetSide
from daisyline.coordination.effects import CheckPresence, PresenceChecked
from daisyline.coordination.membership.fact_events import FactChanged, PutFact
from daisyline.state.failures import Failure, Reason
from daisyline.state.targets import Phase

# All connections of a crashed target are found closed within this time, in
# seconds. The calls that fail within it count as one crash.
_CRASH_WINDOW_S = 1.0
# The longest time from a crash of a target to its next start, or to the end of
# its lease, in seconds.
_MAX_SILENCE_S = 10.0
# How long after a lost answer no retrial is claimed, in seconds. If the target
# crashed, the lease of its announcements ends in that time.
_LOSS_CAUTION_S = 3.0
# How long a target takes no other calls if it is too busy for a retrial, in
# seconds: enough for its calls to end and the caller to send again after 1 s.
_RESERVATION_S = 2.0
# The least time between two reservations of a target, in seconds.
_RESERVATION_PAUSE_S = 10.0
# The number of interrupted requests that are kept until the target restarts;
# larger than the number of calls that a target runs at a time.
_MAX_INTERRUPTED_REQUESTS = 64


@attrs.frozen
class _InterruptedRun:
    """A run that ended without an answer; times in monotonic seconds."""

    request: str
    began_at: float
    ended_at: float


@attrs.frozen
class _Loss:
    """Runs that were in flight when an answer was lost.

    Attributes:
        requests: Their fingerprints.
        began_at: When the run whose answer was lost began, in monotonic
            seconds.
    """

    requests: tuple[str, ...]
    began_at: float


@attrs.define
class TargetCrashes:
    """The crashes of one target, as far as requests may have caused them.

    Attributes:
        quarantine: Requests that are suspected to crash targets.
    """

    quarantine: Quarantine
    _node: str
    _target_side: TargetSide
    _interrupted: deque[_InterruptedRun] = attrs.field(
        factory=lambda: deque(maxlen=_MAX_INTERRUPTED_REQUESTS)
    )
    _unproved: dict[int, _Loss] = attrs.field(factory=dict)
    _check_numbers: Iterator[int] = attrs.field(factory=itertools.count)
    _crashed_calls: set[str] = attrs.field(factory=set)
    _crashed_at: float = -math.inf
    _reserved_until: float = -math.inf
    _reserved_for: str = ''

    def record_end(
        self, event: internal_effects.TargetCallEnded, now: float
    ) -> list[PutFact | CheckPresence]:
        """Record the end of a run at the target and return the effects."""
        if event.crashed:
            return self._record_interrupted(event, now)
        if self.quarantine.is_empty:
            return []
        request = _fingerprint(event.run)
        self.quarantine.end_retrial(request, now - event.service_s)
        if not event.status:
            return []
        return self.quarantine.record_success(request, now)

    def record_silence(self, now: float) -> list[PutFact]:
        """Count a crash if calls were interrupted before the target was lost.

        To be called when another start of the target is announced, or when its
        announcements have ceased. The latter comes first if the target takes
        long to start, and the request could crash others meanwhile.
        """
        recent = [
            run
            for run in self._interrupted
            if run.ended_at > now - _MAX_SILENCE_S
        ]
        self._interrupted.clear()
        if not recent:
            return []
        began_at = max(run.began_at for run in recent)
        requests = [run.request for run in recent]
        return self.quarantine.record_crash(requests, self._node, now, began_at)

    def apply_check(self, event: PresenceChecked, now: float) -> list[PutFact]:
        """Count a crash that was not proved yet if the target is gone."""
        loss = self._unproved.pop(event.number)
        if event.is_present:
            return []
        return self.quarantine.record_crash(
            loss.requests, self._node, now, loss.began_at
        )

    def apply_fact(self, event: FactChanged, now: float) -> list[PutFact]:
        """Apply a fact of any kind; return the facts to spread.

        A request that was answered since its interruption is no part of the
        crash that the target's next start will show.
        """
        fact = event.fact
        if fact.kind == ANSWERED_KIND:
            request = fact.name.partition('/')[0]
            for run in tuple(self._interrupted):
                if run.request == request:
                    self._interrupted.remove(run)
        return self.quarantine.handle(event, now)

    def claim_retrial(self, run: msg.RunCall, now: float) -> list[PutFact]:
        """Claim a retrial of a blocked request if the target can run it."""
        target = self._target_side.target
        if self.quarantine.is_empty or target is None:
            return []
        lost_at = max(
            (lost.ended_at for lost in self._interrupted), default=-math.inf
        )
        if (
            target.service != run.service
            or target.phase == Phase.LEAVING
            or now < lost_at + _LOSS_CAUTION_S
        ):
            return []
        return self.quarantine.claim_retrial(_fingerprint(run), now)

    def check(self, run: msg.RunCall, now: float) -> Failure | None:
        """Return why a suspected request must not run now, or None.

        Other requests are refused too while a suspected one runs.
        """
        if self.quarantine.is_empty:
            return None
        request = _fingerprint(run)
        is_blocked = self.quarantine.is_blocked(request, now)
        if is_blocked and not self.quarantine.may_retry(request, now):
            return Failure(
                Reason.QUARANTINED,
                detail='the request crashed every target that ran it',
            )
        alone = self.quarantine.must_run_alone(request, now)
        is_reserved = now < self._reserved_until
        if (
            (alone and self._target_side.calls)
            or (is_reserved and request != self._reserved_for)
            or self._is_suspect_running(now)
        ):
            if is_blocked:
                self._reserve(request, now)
            return Failure(
                Reason.OVERLOADED, detail='a suspected request runs alone'
            )
        if request == self._reserved_for:
            self._reserved_until = min(now, self._reserved_until)
        return None

    def _reserve(self, request: str, now: float) -> None:
        """Keep other calls away for a while, so that a retrial can run alone.

        A target that always runs some call would never try the request again.
        """
        if now >= self._reserved_until + _RESERVATION_PAUSE_S:
            self._reserved_for = request
            self._reserved_until = now + _RESERVATION_S

    def _record_interrupted(
        self, event: internal_effects.TargetCallEnded, now: float
    ) -> list[PutFact | CheckPresence]:
        """Count a crash once, though each interrupted call reports it.

        A lost answer alone does not prove a crash. If the target reports its
        start time, the crash is counted when a later start is announced. That
        of a suspect which ran alone is counted at once, as the request could
        crash a target with each re-send until then. Without a start time the
        crash is counted if the target no longer accepts connections.
        """
        run, began_at = event.run, now - event.service_s
        request = _fingerprint(run)
        self.quarantine.end_retrial(request, began_at)
        in_flight = self._in_flight()
        is_sole_suspect = not in_flight and self.quarantine.must_run_alone(
            request, now
        )
        is_start_known = self._is_start_known()
        if is_start_known and not is_sole_suspect:
            self._interrupted.append(_InterruptedRun(request, began_at, now))
            return []
        if (
            run.call in self._crashed_calls
            and now < self._crashed_at + _CRASH_WINDOW_S
        ):
            return []
        self._crashed_calls = set(self._target_side.calls)
        self._crashed_at = now
        requests = (request, *in_flight)
        if is_start_known:
            return self.quarantine.record_crash(
                requests, self._node, now, began_at
            )
        check = CheckPresence(next(self._check_numbers))
        self._unproved[check.number] = _Loss(requests, began_at)
        return [check]

    def _is_start_known(self) -> bool:
        target = self._target_side.target
        return target is not None and bool(target.started_ms)

    def _is_suspect_running(self, now: float) -> bool:
        return any(
            self.quarantine.must_run_alone(request, now)
            for request in self._in_flight()
        )

    def _in_flight(self) -> list[str]:
        return [
            _fingerprint(call.run)
            for call in self._target_side.calls.values()
            if call.started_at is not None
        ]


def request_fingerprint(received: ev.RequestReceived) -> str:
    """Return the fingerprint of a request at its entry node."""
    return fingerprint(received.method, received.path, received.body)


def _fingerprint(run: msg.RunCall) -> str:
    return fingerprint(run.method, run.path, run.body)
