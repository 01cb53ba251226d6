"""Messages that carry evidence from nodes to the judges of a rollout."""

from typing import Any

import attrs

# Latency buckets per doubling of the latency. With 4, the upper limits of
# neighbouring buckets differ by 19%.
BUCKETS_PER_OCTAVE = 4


def _pairs_from(pairs: Any) -> tuple[tuple[int, int], ...]:
    return tuple((int(bucket), int(count)) for bucket, count in pairs)


def _rows_from(rows: Any) -> 'tuple[EvidenceRow, ...]':
    return tuple(
        row if isinstance(row, EvidenceRow) else EvidenceRow(*row)
        for row in rows
    )


@attrs.frozen
class EvidenceRow:
    """Counts of one target's calls on one route since the last message.

    Attributes:
        route: The route.
        calls: Calls that ended while the target was warm, without crashes.
        failed: How many of `calls` failed.
        cold_calls: Calls that ended while the target was cold, without crashes.
        cold_failed: How many of `cold_calls` failed.
        crashes: Crashes of the target. A crash counts once, however many calls
            were in flight.
        buckets: Pairs of a latency bucket and the number of warm calls in it
            that did not fail.
    """

    route: str
    calls: int = 0
    failed: int = 0
    cold_calls: int = 0
    cold_failed: int = 0
    crashes: int = 0
    buckets: tuple[tuple[int, int], ...] = attrs.field(
        default=(), converter=_pairs_from
    )


@attrs.frozen
class Evidence:
    """Counts of one target, for the judges of a rollout.

    Attributes:
        service: The service whose rollout is judged.
        rollout: The rollout's id.
        version: The version that the target runs.
        target: The name of the target's node.
        epoch: A random number, drawn when the sender started to count.
        seq: Grows by one with each message of an epoch. Judges ignore messages
            that are repeated or arrive after a later one.
        rows: Counts per route since the last message.
    """

    service: str
    rollout: str
    version: str
    target: str
    epoch: int
    seq: int
    rows: tuple[EvidenceRow, ...] = attrs.field(converter=_rows_from)
