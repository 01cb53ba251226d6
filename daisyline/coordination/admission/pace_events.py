"""The event and the effect of probing a target's pace."""

import attrs


@attrs.frozen
class TargetPaceReported:
    """The target reported its present pace.

    Attributes:
        percent: How long work takes, in percent of the usual time.
    """

    percent: int


@attrs.frozen
class ProbeTarget:
    """Request the target's present pace.

    Attributes:
        path: The path of the request.
    """

    path: str
