"""The event that a target names the rate of calls that it takes."""

import attrs


@attrs.frozen
class TargetLimitReported:
    """An answer of the target has changed what it says of its limit.

    Attributes:
        incarnation: The instance that answered and its time of start.
        per_s: The calls a second that it takes from all nodes together; 0 if it
            names no limit, None if what it names is no rate.
        text: The limit as it was named, shortened.
    """

    incarnation: tuple[str, int]
    per_s: float | None
    text: str = ''
