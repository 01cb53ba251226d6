"""Which lost calls of a soak run a fault explains."""

from standins.soak_records import PLATFORM, Attempt, Journal, Start, Window
from standins.tally import Ending
from standins.target_model import CHAIN_PREFIX

# A call sent later than so long before its entry is told to stop may not have
# reached it.
ARRIVAL_S = 0.2
# What a silent connection swallows is missed only after a while.
SILENT_KINDS = frozenset(('SilentCallers', 'SilentTarget'))
SILENT_LOSS_S = 1.0


def is_judged_loss(
    attempt: Attempt, journal: Journal, starts: list[Start]
) -> bool:
    """Return whether a call was lost in a way that must be explained."""
    if attempt.ending not in {Ending.CUT, Ending.UNKNOWN}:
        return False
    if _is_refused_by_stop(attempt, journal, starts):
        return False
    return not _is_repeated_doubt(attempt, journal, starts)


def _is_refused_by_stop(
    attempt: Attempt, journal: Journal, starts: list[Start]
) -> bool:
    """Return whether a call met a node that had been told to stop.

    One that a target had begun by then was in progress for certain.
    """
    begun_at = min(
        (
            start.at
            for start in starts
            if attempt.sent_at <= start.at <= attempt.ended_at
        ),
        default=float('inf'),
    )
    return any(
        absence.place == attempt.entry
        and begun_at > absence.begins_at
        and absence.begins_at - ARRIVAL_S <= attempt.sent_at <= absence.ends_at
        for absence in journal.absences
    )


def _is_repeated_doubt(
    attempt: Attempt, journal: Journal, starts: list[Start]
) -> bool:
    """Return whether a re-sent call was just told what its first one was.

    The first sending that was in doubt is judged itself.
    """
    ran = any(
        attempt.sent_at <= start.at <= attempt.ended_at for start in starts
    )
    return (
        attempt.ending == Ending.UNKNOWN
        and not ran
        and any(
            earlier.call_id == attempt.call_id
            and earlier.ended_at <= attempt.sent_at
            and earlier.ending in {Ending.UNKNOWN, Ending.CUT}
            for earlier in journal.attempts
        )
    )


def touches(window: Window, attempt: Attempt, ran: list[str]) -> bool:
    """Return whether a fault lay on the way of a call while it was sent.

    Where a call went that no target began, or that made calls in turn, is not
    known, so any place counts.
    """
    apart = (
        window.ends_at < attempt.sent_at or window.begins_at > attempt.ended_at
    )
    if apart or window.place == PLATFORM:
        return False
    lasted_s = attempt.ended_at - attempt.sent_at
    if window.kind in SILENT_KINDS and lasted_s < SILENT_LOSS_S:
        return False
    anywhere = not ran or attempt.path.startswith(CHAIN_PREFIX)
    return anywhere or window.place in {attempt.entry, *ran}
