"""Effects that one part of a node's decisions has on the others."""

import attrs

from daisyline.coordination.messages import Run
from daisyline.state.targets import Target


@attrs.frozen
class TargetChanged:
    """The target beside this node is new, has changed or has lapsed."""

    target: Target | None


@attrs.frozen
class RetrySpent:
    """A retry was spent on a call that a target made, or below it."""

    parent: str


@attrs.frozen
class Observed:
    """A call ended at its target, for histograms and for judging versions.

    Attributes:
        run: The call.
        status: The answer's status; 0 if there was none.
        service_s: How long the target took, in seconds.
        crashed: Whether the target closed the connection by itself.
    """

    run: Run
    status: int
    service_s: float
    crashed: bool = False


@attrs.frozen
class Served:
    """A caller has its whole answer, for histograms.

    Attributes:
        service: The service called.
        tenant: The tenant or class of the caller.
        took_s: From the request's arrival to the answer's end, in seconds.
    """

    service: str
    tenant: str
    took_s: float
