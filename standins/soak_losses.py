"""Which lost calls of a soak run a fault explains."""

from standins.soak_records import PLATFORM, Attempt, Journal, Start, Window
from standins.tally import Ending
from standins.target_model import CHAIN_PREFIX

# A call sent later than so long before its entry is told to stop may not have
# reached it.
MAX_ARRIVAL_DELAY_S = 0.2
# What a silent connection swallows is missed only after a while.
SILENT_FAULT_KINDS = frozenset(('SilentCallers', 'SilentTarget'))
SILENCE_DETECTION_S = 1.0


def is_loss_to_explain(
    attempt: Attempt, journal: Journal, starts: list[Start]
) -> bool:
    """Return whether a call was lost in a way that must be explained."""
    if attempt.ending not in {Ending.CUT, Ending.UNKNOWN}:
        return False
    if _is_sent_to_stopping_node(attempt, journal, starts):
        return False
    return not _is_repeated_unknown(attempt, journal, starts)


def _is_sent_to_stopping_node(
    attempt: Attempt, journal: Journal, starts: list[Start]
) -> bool:
    """Return whether a call met a node that had been told to stop.

    One that a target had begun by then was in progress for certain.
    """
    started_at = min(
        (
            start.at
            for start in starts
            if attempt.sent_at <= start.at <= attempt.ended_at
        ),
        default=float('inf'),
    )
    return any(
        stop.place == attempt.entry
        and started_at > stop.begins_at
        and stop.begins_at - MAX_ARRIVAL_DELAY_S
        <= attempt.sent_at
        <= stop.ends_at
        for stop in journal.node_stops
    )


def _is_repeated_unknown(
    attempt: Attempt, journal: Journal, starts: list[Start]
) -> bool:
    """Return whether a re-sent call was just told what its first one was.

    The first sending that was in doubt is judged itself.
    """
    has_run = any(
        attempt.sent_at <= start.at <= attempt.ended_at for start in starts
    )
    return (
        attempt.ending == Ending.UNKNOWN
        and not has_run
        and any(
            earlier.call_id == attempt.call_id
            and earlier.ended_at <= attempt.sent_at
            and earlier.ending in {Ending.UNKNOWN, Ending.CUT}
            for earlier in journal.attempts
        )
    )


def can_affect(window: Window, attempt: Attempt, run_places: list[str]) -> bool:
    """Return whether a fault lay on the way of a call while it was sent.

    Where a call went that no target began, or that made calls in turn, is not
    known, so any place counts.
    """
    is_disjoint = (
        window.ends_at < attempt.sent_at or window.begins_at > attempt.ended_at
    )
    if is_disjoint or window.place == PLATFORM:
        return False
    duration_s = attempt.ended_at - attempt.sent_at
    if window.kind in SILENT_FAULT_KINDS and duration_s < SILENCE_DETECTION_S:
        return False
    is_place_unknown = not run_places or attempt.path.startswith(CHAIN_PREFIX)
    return is_place_unknown or window.place in {attempt.entry, *run_places}
