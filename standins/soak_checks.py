"""Checks of the guarantees against the records of a soak run."""

import collections
import itertools
import operator
from collections.abc import Callable, Iterator

import attrs

from standins.soak_losses import can_affect, is_loss_to_explain, is_unread
from standins.soak_records import Attempt, Journal, Start
from standins.tally import Ending
from standins.target_model import POISON_PATH
from standins.target_records import REPEATABLE_METHODS

# A zone that is out, or a leaving target, gets no new calls after this time.
NEW_WORK_GRACE_S = 3.0
# Calls sent later than this after the last fault have to succeed.
RECOVERY_S = 10.0
# Number of targets that one request may crash.
MAX_CRASHES = 3
# If its node is killed or paused within this time of a crash, the other nodes
# may not have learned of the crash.
CRASH_REPORT_S = 1.0
MAX_RSS_BYTES = 67_108_864
# The only platform fault that keeps a change from the nodes: watches continue
# while reads are stale, and while answers are lost or late.
PLATFORM_OUTAGE_KIND = 'PlatformDown'
CONTRACT_LIMITS = frozenset(('slots', 'connections'))
CHANGED_BODY = 'body'


@attrs.frozen
class Violation:
    """A guarantee that did not hold.

    Attributes:
        check: The short name of the check.
        detail: What was observed, in one sentence.
    """

    check: str
    detail: str


Violations = Iterator[Violation]


def violations_of(journal: Journal) -> list[Violation]:
    """Return the violations that all checks find."""
    return [violation for check in _CHECKS for violation in check(journal)]


def mismatched_answers(journal: Journal) -> Violations:
    """Check that each answer is complete and belongs to its own request."""
    for attempt in journal.attempts:
        if attempt.ending == Ending.WRONG:
            detail = f'{attempt.call_id} got {attempt.reason}'
            yield Violation('own-answer', detail)


def false_refusals(journal: Journal) -> Violations:
    """Check that no target started a call that was refused as not run.

    A re-sent call is checked up to its first attempt that may have run.
    """
    starts = _starts_by_call(journal)
    for call_id, attempts in _attempts_by_call(journal).items():
        ends = [attempt.sent_at for attempt in attempts[1:]] + [float('inf')]
        for attempt, until in zip(attempts, ends, strict=True):
            if attempt.ending != Ending.NOT_RUN:
                break
            run_starts = [
                start
                for start in starts[call_id]
                if attempt.sent_at <= start.at < until
            ]
            if run_starts:
                detail = (
                    f'{call_id} ran at {run_starts[0].place}: {attempt.reason}'
                )
                yield Violation('not-run', detail)


def duplicate_runs(journal: Journal) -> Violations:
    """Check that a call that is not repeatable was started at most once."""
    for call_id, starts in _starts_by_call(journal).items():
        if len(starts) > 1 and starts[0].method not in REPEATABLE_METHODS:
            places = ', '.join(
                f'{start.place} at {start.at:.3f}' for start in starts
            )
            yield Violation('once', f'{call_id} ran at {places}')


def exceeded_limits(journal: Journal) -> Violations:
    """Check that no target exceeded its limits of calls and connections."""
    for violation in journal.limit_violations:
        if violation.limit in CONTRACT_LIMITS:
            where = f'{violation.place} at {violation.at:.3f}'
            detail = f'{violation.limit} was {violation.detail} at {where}'
            yield Violation('limits', detail)


def changed_bodies(journal: Journal) -> Violations:
    """Check that each request ran with the body that its caller sent."""
    for violation in journal.limit_violations:
        if violation.limit == CHANGED_BODY:
            where = f'{violation.place} at {violation.at:.3f}'
            detail = f'{violation.detail} ran with another body at {where}'
            yield Violation('body', detail)


def work_in_zones_out(journal: Journal) -> Violations:
    """Check that a zone that is out gets no new calls after a grace period."""
    for period in journal.zone_out_periods:
        since = _readable_from(period.accepted_at, journal) + NEW_WORK_GRACE_S
        for start in journal.starts:
            if journal.zones[start.place] != period.zone:
                continue
            if since < start.at < period.restored_at:
                late_s = start.at - period.accepted_at
                detail = (
                    f'{start.call_id} ran at {start.place} in {period.zone}'
                )
                yield Violation('zone', f'{detail} after {late_s:.2f} s')


def work_at_leaving_targets(journal: Journal) -> Violations:
    """Check that a leaving target gets no new calls after a grace period."""
    signalled_at = {
        stop.instance: stop.signalled_at for stop in journal.target_stops
    }
    for start in journal.starts:
        late_s = start.at - signalled_at.get(start.instance, float('inf'))
        if late_s > NEW_WORK_GRACE_S:
            detail = f'{start.call_id} ran at {start.place}'
            yield Violation('leaving', f'{detail} after {late_s:.2f} s')


def unexplained_losses(journal: Journal) -> Violations:
    """Check that each lost call is explained by an unplanned fault on its path.

    A planned stop explains no loss, so it must not cut a call in progress.
    """
    starts = _starts_by_call(journal)
    for attempt in journal.attempts:
        if not is_loss_to_explain(attempt, journal, starts[attempt.call_id]):
            continue
        # A start that belongs to a later attempt doesn't show where this one
        # went.
        run_places = [
            start.place
            for start in starts[attempt.call_id]
            if attempt.sent_at <= start.at <= attempt.ended_at
        ]
        if not any(
            can_affect(window, attempt, run_places)
            for window in journal.windows
        ):
            where = f'by {attempt.entry}, ran at {run_places}'
            when = f'{attempt.sent_at:.3f} to {attempt.ended_at:.3f}'
            detail = f'{attempt.call_id} {attempt.ending} {attempt.reason}'
            yield Violation('cut', f'{detail} {where}, {when}')


def poison_crashes(journal: Journal) -> Violations:
    """Check that one request crashes at most three targets.

    Each other attempt in flight at the third crash may add one. A crash does
    not count if its node was killed or paused before it could report it.
    """
    for call_id, starts in _starts_by_call(journal).items():
        if not starts[0].path.startswith(POISON_PATH):
            continue
        reported = [
            start for start in starts if _is_crash_reported(start, journal)
        ]
        if len(reported) <= MAX_CRASHES:
            continue
        third_at = reported[MAX_CRASHES - 1].at
        in_flight = sum(
            attempt.sent_at <= third_at <= attempt.ended_at
            or (attempt.sent_at <= third_at and attempt.ending == Ending.CUT)
            for attempt in journal.attempts
            if attempt.call_id == call_id
        )
        allowed = MAX_CRASHES + max(0, in_flight - 1)
        if len(reported) > allowed:
            detail = f'{call_id} crashed {len(reported)} targets, max {allowed}'
            yield Violation('poison', detail)


def outdated_settings(journal: Journal) -> Violations:
    """Check that settings versions only grow and all nodes have the newest."""
    newest: dict[tuple[str, int], int] = {}
    last_versions: dict[str, int] = {}
    for sample in journal.settings_readings:
        key = (sample.node, sample.pid)
        if sample.version < newest.get(key, 0):
            detail = (
                f'{sample.node} went from {newest[key]} to {sample.version}'
            )
            yield Violation('settings', detail)
        newest[key] = max(sample.version, newest.get(key, 0))
        last_versions[sample.node] = sample.version
    for node in journal.zones:
        version = last_versions.get(node, 0)
        if version != journal.newest_version:
            detail = f'{node} holds {version}, not {journal.newest_version}'
            yield Violation('settings', detail)


def faulty_nodes(journal: Journal) -> Violations:
    """Check that no node logged a fault or exceeded its memory limit."""
    for fault in journal.node_faults:
        yield Violation('fault', f'{fault.node}: {fault.line}')
    for memory in journal.peak_memory:
        if memory.octets > MAX_RSS_BYTES:
            yield Violation('memory', f'{memory.node}: {memory.octets} bytes')


def slow_recovery(journal: Journal) -> Violations:
    """Check that all calls succeed again soon after the last fault."""
    since = journal.faults_ended_at + RECOVERY_S
    starts = _starts_by_call(journal)
    checked = [
        attempt
        for attempt in journal.attempts
        if attempt.sent_at > since
        and not attempt.path.startswith(POISON_PATH)
        and not is_unread(attempt, starts[attempt.call_id])
    ]
    if not checked:
        yield Violation('recovery', 'no call was sent after the faults')
    for attempt in checked:
        if attempt.ending != Ending.ANSWERED:
            detail = f'{attempt.call_id} by {attempt.entry}'
            ending = f'{attempt.ending} {attempt.reason}'
            yield Violation('recovery', f'{detail} was {ending}')
    if journal.pending:
        yield Violation('recovery', f'{journal.pending} calls never ended')


def lost_reports(journal: Journal) -> Violations:
    """Check that the records are complete: no report of a target was lost."""
    numbers: dict[str, list[int]] = collections.defaultdict(list)
    for report in journal.reports:
        numbers[report.instance].append(report.number)
    for instance, seen in numbers.items():
        if sorted(seen) != list(range(1, len(seen) + 1)):
            yield Violation('records', f'reports of {instance} were lost')


_CHECKS: tuple[Callable[[Journal], Violations], ...] = (
    mismatched_answers,
    false_refusals,
    duplicate_runs,
    exceeded_limits,
    changed_bodies,
    work_in_zones_out,
    work_at_leaving_targets,
    unexplained_losses,
    poison_crashes,
    outdated_settings,
    faulty_nodes,
    slow_recovery,
    lost_reports,
)


def _starts_by_call(journal: Journal) -> dict[str, list[Start]]:
    by_call: dict[str, list[Start]] = collections.defaultdict(list)
    for start in sorted(journal.starts, key=operator.attrgetter('at')):
        if start.call_id:
            by_call[start.call_id].append(start)
    return by_call


def _attempts_by_call(journal: Journal) -> dict[str, list[Attempt]]:
    by_call = operator.attrgetter('call_id')
    ordered = sorted(journal.attempts, key=operator.attrgetter('sent_at'))
    grouped = itertools.groupby(sorted(ordered, key=by_call), key=by_call)
    return {call_id: list(attempts) for call_id, attempts in grouped}


def _readable_from(accepted_at: float, journal: Journal) -> float:
    """Return when nodes could read a change of the settings.

    That is the time at which the platform accepted it, or the end of an outage
    of the platform that began soon after, in monotonic seconds.
    """
    readable_at = accepted_at
    for window in sorted(journal.windows, key=operator.attrgetter('begins_at')):
        starts_in_time = window.begins_at <= readable_at + NEW_WORK_GRACE_S
        if window.kind == PLATFORM_OUTAGE_KIND and starts_in_time:
            readable_at = max(readable_at, window.ends_at)
    return readable_at


def _is_crash_reported(start: Start, journal: Journal) -> bool:
    """Return whether the crashed target's node ran long enough to report it."""
    return not any(
        window.place == start.place
        and window.kind in {'KillNode', 'PauseNode'}
        and window.begins_at <= start.at + CRASH_REPORT_S
        and window.ends_at >= start.at
        for window in journal.windows
    )
