"""What must hold for all that a soak run saw."""

import collections
import itertools
import operator
from collections.abc import Callable, Iterator

import attrs

from standins.soak_losses import is_judged_loss, touches
from standins.soak_records import Attempt, Journal, Start
from standins.tally import Ending
from standins.target_model import POISON_PATH
from standins.target_records import REPEATABLE_METHODS

# A zone that was taken out, or a leaving target, gets no new work after this.
AWAY_GRACE_S = 3.0
RECOVERY_S = 10.0
MAX_CRASHES = 3
# A crash whose node was gone within so long could not be told to the others.
TELL_S = 1.0
MAX_RSS_BYTES = 67_108_864
# Of the platform's faults just this keeps a change from the nodes: watches go
# on while reads are stale, answers lost or all of them late.
OUTAGE_KIND = 'PlatformDown'
CONTRACT_LIMITS = frozenset(('slots', 'connections'))


@attrs.frozen
class Violation:
    """Something that must hold and did not.

    Attributes:
        check: The short name of the check.
        detail: What was seen, in one sentence.
    """

    check: str
    detail: str


Findings = Iterator[Violation]


def violations_of(journal: Journal) -> list[Violation]:
    """Return everything that did not hold."""
    return [violation for check in _CHECKS for violation in check(journal)]


def foreign_answers(journal: Journal) -> Findings:
    """Every answer is whole and the answer to its own request."""
    for attempt in journal.attempts:
        if attempt.ending == Ending.WRONG:
            detail = f'{attempt.call_id} got {attempt.reason}'
            yield Violation('own-answer', detail)


def untrue_refusals(journal: Journal) -> Findings:
    """No target began a call that was refused as not run.

    A re-sent call is judged until one of its sendings may have run.
    """
    starts = _starts_by_call(journal)
    for call_id, attempts in _attempts_by_call(journal).items():
        ends = [attempt.sent_at for attempt in attempts[1:]] + [float('inf')]
        for attempt, until in zip(attempts, ends, strict=True):
            if attempt.ending != Ending.NOT_RUN:
                break
            ran = [
                start
                for start in starts[call_id]
                if attempt.sent_at <= start.at < until
            ]
            if ran:
                detail = f'{call_id} ran at {ran[0].place}: {attempt.reason}'
                yield Violation('not-run', detail)


def doubled_calls(journal: Journal) -> Findings:
    """A call that is not repeatable was begun at most once."""
    for call_id, starts in _starts_by_call(journal).items():
        if len(starts) > 1 and starts[0].method not in REPEATABLE_METHODS:
            places = ', '.join(
                f'{start.place} at {start.at:.3f}' for start in starts
            )
            yield Violation('once', f'{call_id} ran at {places}')


def broken_limits(journal: Journal) -> Findings:
    """No target ran more calls or had more connections than it bears."""
    for broken in journal.broken:
        if broken.limit in CONTRACT_LIMITS:
            where = f'{broken.place} at {broken.at:.3f}'
            detail = f'{broken.limit} was {broken.detail} at {where}'
            yield Violation('limits', detail)


def work_for_zones_away(journal: Journal) -> Findings:
    """A zone that is out gets no new work after a few seconds."""
    for away in journal.zones_away:
        since = _known_from(away.accepted_at, journal) + AWAY_GRACE_S
        for start in journal.starts:
            if journal.zones[start.place] != away.zone:
                continue
            if since < start.at < away.back_at:
                late_s = start.at - away.accepted_at
                detail = f'{start.call_id} ran at {start.place} in {away.zone}'
                yield Violation('zone', f'{detail} after {late_s:.2f} s')


def work_for_leaving_targets(journal: Journal) -> Findings:
    """A leaving target gets no new work after a few seconds."""
    told = {leaving.instance: leaving.told_at for leaving in journal.leaving}
    for start in journal.starts:
        late_s = start.at - told.get(start.instance, float('inf'))
        if late_s > AWAY_GRACE_S:
            detail = f'{start.call_id} ran at {start.place}'
            yield Violation('leaving', f'{detail} after {late_s:.2f} s')


def unexplained_losses(journal: Journal) -> Findings:
    """No call is lost but by an unplanned fault on its way.

    So no planned stop cuts a call in progress.
    """
    starts = _starts_by_call(journal)
    for attempt in journal.attempts:
        if not is_judged_loss(attempt, journal, starts[attempt.call_id]):
            continue
        # Where it ran when it was sent again doesn't tell where this sending
        # went.
        ran = [
            start.place
            for start in starts[attempt.call_id]
            if attempt.sent_at <= start.at <= attempt.ended_at
        ]
        if not any(touches(window, attempt, ran) for window in journal.windows):
            where = f'by {attempt.entry}, ran at {ran}'
            when = f'{attempt.sent_at:.3f} to {attempt.ended_at:.3f}'
            detail = f'{attempt.call_id} {attempt.ending} {attempt.reason}'
            yield Violation('cut', f'{detail} {where}, {when}')


def poison_crashes(journal: Journal) -> Findings:
    """One request crashes at most three targets.

    Sendings that were in flight at the third crash may add one each; crashes
    do not count whose node was gone before it could tell of them.
    """
    for call_id, starts in _starts_by_call(journal).items():
        if not starts[0].path.startswith(POISON_PATH):
            continue
        told = [start for start in starts if _is_told(start, journal)]
        if len(told) <= MAX_CRASHES:
            continue
        third_at = told[MAX_CRASHES - 1].at
        others = sum(
            attempt.sent_at <= third_at <= attempt.ended_at
            or (attempt.sent_at <= third_at and attempt.ending == Ending.CUT)
            for attempt in journal.attempts
            if attempt.call_id == call_id
        )
        allowed = MAX_CRASHES + max(0, others - 1)
        if len(told) > allowed:
            detail = f'{call_id} crashed {len(told)} targets of {allowed}'
            yield Violation('poison', detail)


def old_settings(journal: Journal) -> Findings:
    """No node goes back to older settings, and all hold the newest at last."""
    newest: dict[tuple[str, int], int] = {}
    at_last: dict[str, int] = {}
    for held in journal.held:
        key = (held.node, held.process)
        if held.version < newest.get(key, 0):
            detail = f'{held.node} went from {newest[key]} to {held.version}'
            yield Violation('settings', detail)
        newest[key] = max(held.version, newest.get(key, 0))
        at_last[held.node] = held.version
    for node in journal.zones:
        version = at_last.get(node, 0)
        if version != journal.newest_version:
            detail = f'{node} holds {version}, not {journal.newest_version}'
            yield Violation('settings', detail)


def faulty_nodes(journal: Journal) -> Findings:
    """No node's program had a fault, and each kept to its memory."""
    for fault in journal.node_faults:
        yield Violation('fault', f'{fault.node}: {fault.line}')
    for memory in journal.memory:
        if memory.octets > MAX_RSS_BYTES:
            yield Violation('memory', f'{memory.node}: {memory.octets} bytes')


def slow_recovery(journal: Journal) -> Findings:
    """All calls are answered again soon after the faults have ended."""
    since = journal.faults_ended_at + RECOVERY_S
    late = [
        attempt
        for attempt in journal.attempts
        if attempt.sent_at > since and not attempt.path.startswith(POISON_PATH)
    ]
    if not late:
        yield Violation('recovery', 'no call was sent after the faults')
    for attempt in late:
        if attempt.ending != Ending.ANSWERED:
            detail = f'{attempt.call_id} by {attempt.entry}'
            ending = f'{attempt.ending} {attempt.reason}'
            yield Violation('recovery', f'{detail} was {ending}')
    if journal.pending:
        yield Violation('recovery', f'{journal.pending} calls never ended')


def lost_reports(journal: Journal) -> Findings:
    """Every report of a target's instance came, so the records are whole."""
    numbers: dict[str, list[int]] = collections.defaultdict(list)
    for report in journal.reports:
        numbers[report.instance].append(report.number)
    for instance, seen in numbers.items():
        if sorted(seen) != list(range(1, len(seen) + 1)):
            yield Violation('records', f'reports of {instance} were lost')


_CHECKS: tuple[Callable[[Journal], Findings], ...] = (
    foreign_answers,
    untrue_refusals,
    doubled_calls,
    broken_limits,
    work_for_zones_away,
    work_for_leaving_targets,
    unexplained_losses,
    poison_crashes,
    old_settings,
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


def _known_from(accepted_at: float, journal: Journal) -> float:
    """Return when nodes could hear of a change of the settings.

    That is when the platform gave it out, or after the outage that followed.
    """
    known_at = accepted_at
    for window in sorted(journal.windows, key=operator.attrgetter('begins_at')):
        begins_soon = window.begins_at <= known_at + AWAY_GRACE_S
        if window.kind == OUTAGE_KIND and begins_soon:
            known_at = max(known_at, window.ends_at)
    return known_at


def _is_told(start: Start, journal: Journal) -> bool:
    """Return whether the node beside a crash lived on to tell of it."""
    return not any(
        window.place == start.place
        and window.kind in {'KillNode', 'PauseNode'}
        and window.begins_at <= start.at + TELL_S
        and window.ends_at >= start.at
        for window in journal.windows
    )
