"""The message that carries the counts of a node to the holder of the duty."""

from typing import Any

import attrs

Row = tuple[str, int]
WindowRows = tuple[int, tuple[Row, ...]]


def _windows_from(windows: Any) -> tuple[WindowRows, ...]:
    return tuple(
        (
            int(window),
            tuple(
                (_customer(customer), int(count)) for customer, count in rows
            ),
        )
        for window, rows in windows
    )


def _customer(name: Any) -> str:
    if not isinstance(name, str):
        raise TypeError('a customer is named by a string')
    return name


@attrs.frozen
class UsageCounts:
    """Totals of the calls that began to run at the sender's target.

    Attributes:
        start: The incarnation of the sender's process.
        token: The fencing token of the holder that the counts are for.
        sequence: Grows with each message of a process; of two totals of a
            window, the one with the larger sequence holds.
        final_before: The totals of the windows before this one are final.
        windows: Each window that is not written yet, with the total of each
            customer. A window that is missing has no calls.
    """

    start: int = attrs.field(validator=attrs.validators.instance_of(int))
    token: int = attrs.field(validator=attrs.validators.instance_of(int))
    sequence: int = attrs.field(validator=attrs.validators.instance_of(int))
    final_before: int = attrs.field(validator=attrs.validators.instance_of(int))
    windows: tuple[WindowRows, ...] = attrs.field(converter=_windows_from)
