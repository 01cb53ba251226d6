"""A model without I/O of a relay that can delay and freeze connections."""

import enum
from typing import Any

import attrs

MS_PER_S = 1000


class ByteHandling(enum.StrEnum):
    """Whether the bytes of a connection are forwarded or discarded."""

    PASS = 'pass'
    SWALLOW = 'swallow'


@attrs.frozen
class RelayFaults:
    """The faults of a relay.

    Attributes:
        delay_ms: The delay of bytes each way, in milliseconds.
        refuse: Whether new connections are closed at once.
        swallow_new: Whether new connections are frozen from the start.
    """

    delay_ms: float = 0
    refuse: bool = False
    swallow_new: bool = False

    def with_changes(self, fields: dict[str, Any]) -> 'RelayFaults':
        """Return a copy with the given fields; unknown fields are ignored."""
        known = {field.name for field in attrs.fields(RelayFaults)}
        named = known.intersection(fields)
        return attrs.evolve(self, **{key: fields[key] for key in named})


@attrs.define
class RelayModel:
    """Decides what a relay does with each connection, by its number.

    Attributes:
        faults: The faults that apply now.
        byte_handling: The handling of the bytes of each open connection.
    """

    faults: RelayFaults = attrs.field(factory=RelayFaults)
    byte_handling: dict[int, ByteHandling] = attrs.field(factory=dict)
    _last_number: int = 0

    def opened(self) -> int | None:
        """Return the number of a new connection, or `None` to refuse it."""
        if self.faults.refuse:
            return None
        self._last_number += 1
        frozen = self.faults.swallow_new
        self.byte_handling[self._last_number] = (
            ByteHandling.SWALLOW if frozen else ByteHandling.PASS
        )
        return self._last_number

    def closed(self, number: int) -> None:
        """Remove a connection."""
        self.byte_handling.pop(number, None)

    def freeze(self) -> int:
        """Discard the bytes of the open connections until they close.

        Returns:
            The number of open connections, all of which are frozen.
        """
        self.byte_handling = dict.fromkeys(
            self.byte_handling, ByteHandling.SWALLOW
        )
        return len(self.byte_handling)

    def is_forwarding(self, number: int) -> bool:
        """Return whether a connection's bytes and its end are forwarded."""
        return self.byte_handling.get(number) == ByteHandling.PASS

    @property
    def delay_s(self) -> float:
        """Return the delay of bytes each way, in seconds."""
        return self.faults.delay_ms / MS_PER_S
