"""What a relay does with the bytes that pass through it."""

import enum
from typing import Any

import attrs

MS_PER_S = 1000


class ByteHandling(enum.StrEnum):
    """What becomes of a connection's bytes."""

    PASS = 'pass'
    SWALLOW = 'swallow'


@attrs.frozen
class RelayFaults:
    """How the relay treats bytes.

    Attributes:
        delay_ms: How much later bytes go on, in milliseconds, each way.
        refuse: New connections are closed at once.
        swallow_new: New connections are frozen from their start.
    """

    delay_ms: float = 0
    refuse: bool = False
    swallow_new: bool = False

    def with_changes(self, fields: dict[str, Any]) -> 'RelayFaults':
        """Return the faults with those that the fields name changed."""
        known = {field.name for field in attrs.fields(RelayFaults)}
        named = known.intersection(fields)
        return attrs.evolve(self, **{key: fields[key] for key in named})


@attrs.define
class RelayModel:
    """Decides on connections by their number.

    Attributes:
        faults: The faults in force.
        fates: What becomes of each open connection's bytes.
    """

    faults: RelayFaults = attrs.field(factory=RelayFaults)
    byte_handling: dict[int, ByteHandling] = attrs.field(factory=dict)
    _last_number: int = 0

    def opened(self) -> int | None:
        """Return a new connection's number, `None` if it is refused."""
        if self.faults.refuse:
            return None
        self._last_number += 1
        frozen = self.faults.swallow_new
        self.byte_handling[self._last_number] = (
            ByteHandling.SWALLOW if frozen else ByteHandling.PASS
        )
        return self._last_number

    def closed(self, number: int) -> None:
        """Forget a connection."""
        self.byte_handling.pop(number, None)

    def freeze(self) -> int:
        """Swallow the bytes of the connections now open, for good.

        Returns:
            How many connections are frozen.
        """
        self.byte_handling = dict.fromkeys(
            self.byte_handling, ByteHandling.SWALLOW
        )
        return len(self.byte_handling)

    def is_forwarding(self, number: int) -> bool:
        """Return whether a connection's bytes and its end go on."""
        return self.byte_handling.get(number) == ByteHandling.PASS

    @property
    def delay_s(self) -> float:
        """Return how much later bytes go on, in seconds."""
        return self.faults.delay_ms / MS_PER_S
