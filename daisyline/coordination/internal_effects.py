"""Effects that one part of a node has on its other parts."""

import attrs

from daisyline.coordination.calls.call_events import RequestReceived
from daisyline.coordination.calls.messages import RunCall
from daisyline.state.rollout_state import CallSample
from daisyline.state.targets import Phase, Target

_US_PER_S = 1_000_000
_SERVER_ERROR = 500


@attrs.frozen
class TargetChanged:
    """The target beside this node is new, has changed or its lease expired.

    Attributes:
        target: The target; None if its lease expired.
    """

    target: Target | None


@attrs.frozen
class RetrySpent:
    """A retry was spent on a call that a target made, or on one below it.

    Attributes:
        parent: The call that the target was serving.
    """

    parent: str


@attrs.frozen
class TargetCallEnded:
    """A call ended at its target; rollouts and the quarantine count it.

    Attributes:
        run: The request that was run.
        status: The HTTP status of the answer; 0 if there was none.
        service_s: The time that the target took, in seconds.
        crashed: Whether the target closed the connection.
    """

    run: RunCall
    status: int
    service_s: float
    crashed: bool = False

    def sample(self, target: Target, is_slow: bool) -> CallSample:
        """Return the evidence about the target's version.

        Args:
            target: The target that ran the call.
            is_slow: Whether the target is slowed down by its host.
        """
        return CallSample(
            service=target.service,
            version=target.version,
            target=target.instance,
            route=self.run.kind,
            succeeded=bool(self.status) and self.status < _SERVER_ERROR,
            service_us=int(self.service_s * _US_PER_S),
            cold=target.phase == Phase.COLD or is_slow,
            target_crashed=self.crashed,
        )


@attrs.frozen
class CallServed:
    """A caller got its complete answer; its duration goes to the histograms.

    Attributes:
        service: The service that was called.
        tenant: The tenant or class of the caller.
        took_s: The time from the request to the end of the answer, in seconds.
        lost_request: The request if an earlier target was lost with it, which
            may have crashed; None otherwise.
    """

    service: str
    tenant: str
    took_s: float
    lost_request: RequestReceived | None = None
