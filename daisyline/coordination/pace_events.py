"""How a node hears how fast its target works."""

import attrs


@attrs.frozen
class TargetPaced:
    """The target said how long work takes there now.

    Attributes:
        percent: 100 is usual.
    """

    percent: int


@attrs.frozen
class ProbeTarget:
    """Ask the target how long work takes there now.

    Attributes:
        path: Where it is asked.
    """

    path: str
