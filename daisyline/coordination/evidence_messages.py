"""Messages from targets' nodes to the judges of a rollout."""

from typing import Any

import attrs

# One bucket is a fourth of an octave wide, so neighbours differ by 19%.
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
    """What one target did on one route since its node's last message.

    Attributes:
        route: The route.
        calls: Calls that ended while the target was warm, without crashes.
        failed: Those of them that failed.
        cold_calls: Calls that ended while the target was cold.
        cold_failed: Those of them that failed.
        crashes: Crashes of the target, each counted once however many calls
            were in flight.
        buckets: Pairs of a latency bucket and its number of warm calls.
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
    """Counts of one target for a rollout, for its judges.

    Attributes:
        service: The service whose rollout is judged.
        rollout: The rollout's id.
        version: The version that the target runs.
        target: The target's instance.
        epoch: A number drawn when the sender started.
        seq: Grows by one with each message of an epoch; a judge takes none
            twice.
        rows: Counts per route since the last message.
    """

    service: str
    rollout: str
    version: str
    target: str
    epoch: int
    seq: int
    rows: tuple[EvidenceRow, ...] = attrs.field(converter=_rows_from)
