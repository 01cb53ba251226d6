"""Rules for which lost calls of a soak run a fault explains."""

from standins.soak_records import PLATFORM, Attempt, Journal, Start, Window
from standins.tally import Ending
from standins.target_model import BROKEN_PREFIX, CHAIN_PREFIX

# A call sent less than this before its entry node gets SIGTERM may not have
# arrived there.
MAX_ARRIVAL_DELAY_S = 0.2
SILENT_FAULT_KINDS = frozenset(('SilentCallers', 'SilentTarget'))
# A silent connection delays the end of a call by at least this much, so it
# explains no shorter loss.
SILENCE_DETECTION_S = 1.0


def is_loss_to_explain(
    attempt: Attempt, journal: Journal, starts: list[Start]
) -> bool:
    """Return whether a call was lost and needs a fault to explain it."""
    if attempt.ending not in {Ending.CUT, Ending.UNKNOWN}:
        return False
    if attempt.path.startswith(BROKEN_PREFIX):
        return False
    if is_unread(attempt, starts):
        return False
    if _is_sent_to_stopping_node(attempt, journal, starts):
        return False
    return not _is_repeated_unknown(attempt, journal, starts)


def is_unread(attempt: Attempt, starts: list[Start]) -> bool:
    """Return whether a call waited behind another one and was not started.

    A caller takes it for unread if the connection ends, and sends it again.
    """
    is_started = any(
        attempt.sent_at <= start.at <= attempt.ended_at for start in starts
    )
    return attempt.is_behind and attempt.ending == Ending.CUT and not is_started


def _is_sent_to_stopping_node(
    attempt: Attempt, journal: Journal, starts: list[Start]
) -> bool:
    """Return whether a call was sent to a node that was already stopping.

    A call that a target had started before the stop was in progress.
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
    """Return whether a re-sent call only got the outcome of an earlier attempt.

    The earliest attempt that was cut or unknown is checked itself.
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
    """Return whether a fault may have hit an attempt on its path.

    The path is unknown if no target started the call or if its target made
    further calls; then a fault at any place counts.

    Args:
        window: The time and place of the fault.
        attempt: The attempt.
        run_places: The places of the targets that started the call.
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
