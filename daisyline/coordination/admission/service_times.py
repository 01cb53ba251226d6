"""Service times of the kinds of calls that one target runs."""

from collections import OrderedDict

import attrs

from daisyline.coordination.admission.fair_queue import Ticket

MS_PER_S = 1000
# Weight of the newest call of a kind in its smoothed service time.
SMOOTHING = 0.1
# Paths come from callers, so the number of kinds that are kept is bounded.
MAX_KINDS = 64
# A kind with fewer calls is new.
MIN_CALLS = 3
# A call of a new kind is assumed to take at most this fraction of the time that
# is left of its objective. Without that bound, short calls would be refused
# forever beside long ones, as none of them would run to be measured.
NEW_KIND_OBJECTIVE_FRACTION = 0.5


@attrs.define
class _KindTime:
    """The smoothed service time of one kind of calls.

    Attributes:
        service_s: The service time, in seconds.
        calls: The number of calls that it was measured from.
    """

    service_s: float = 0
    calls: int = 0

    def record(self, service_s: float) -> None:
        self.calls += 1
        weight = max(SMOOTHING, 1 / self.calls)
        self.service_s += weight * (service_s - self.service_s)


@attrs.define
class ServiceTimes:
    """Smoothed service times by kind of call, for one target.

    A target runs short calls beside long ones. Judged by the mean of both, the
    answer of a short call with a short objective would always be expected too
    late.
    """

    _kinds: OrderedDict[str, _KindTime] = attrs.field(factory=OrderedDict)

    @property
    def by_kind_ms(self) -> dict[str, int]:
        """Return the service time of each kind, in milliseconds."""
        return {
            kind: round(measured.service_s * MS_PER_S)
            for kind, measured in self._kinds.items()
        }

    def record(self, kind: str, service_s: float) -> None:
        """Record a successful call.

        Args:
            kind: The kind of the call; empty if it is not known.
            service_s: How long the target took, in seconds.
        """
        if not kind:
            return
        self._kinds.setdefault(kind, _KindTime()).record(service_s)
        self._kinds.move_to_end(kind)
        if len(self._kinds) > MAX_KINDS:
            self._kinds.popitem(last=False)

    def with_extra_time(
        self, ticket: Ticket, mean_s: float, now: float
    ) -> Ticket:
        """Return a ticket with the difference of its service time to the mean.

        Args:
            ticket: The call.
            mean_s: The smoothed service time of all calls, in seconds.
            now: Monotonic seconds.
        """
        expected_s = self._expected_s(
            ticket.kind, mean_s, ticket.objective - now
        )
        return attrs.evolve(ticket, extra_s=expected_s - mean_s)

    def _expected_s(
        self, kind: str, mean_s: float, objective_left_s: float
    ) -> float:
        """Return how long a call is expected to take, in seconds."""
        measured = self._kinds.get(kind)
        if measured is not None and measured.calls >= MIN_CALLS:
            return measured.service_s
        if not kind or objective_left_s <= 0:
            return mean_s
        return min(mean_s, NEW_KIND_OBJECTIVE_FRACTION * objective_left_s)
