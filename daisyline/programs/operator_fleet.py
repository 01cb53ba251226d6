"""Commands that ask nodes: status, explain and top."""

import functools
import operator
from typing import Any, Literal
from urllib import parse as urls

import attrs

from daisyline.programs.operator_context import (
    DEFAULTS,
    Common,
    ask_nodes,
    read_status,
    told_urls,
)
from daisyline.programs.operator_errors import ExitCode, UserError
from daisyline.programs.operator_output import (
    GREEN,
    RED,
    YELLOW,
    paint,
    progress,
    say,
    say_json,
    say_table,
)
from daisyline.protocol.operator_answers import (
    MAX_MERGED_SERIES,
    merge_histograms,
    parse_events,
)
from daisyline.state.failures import Failure
from daisyline.state.fleet_status import (
    FleetStatus,
    MemberStatus,
    RecordedEvent,
)
from daisyline.state.histograms import PERCENTILES, Latencies

Kind = Literal['call', 'target', 'zone', 'rollout']

_COLOURS = functools.partial(
    dict, ready=GREEN, cold=YELLOW, leaving=YELLOW, done=GREEN
)


def status(*, common: Common = DEFAULTS) -> int:
    """Show the nodes, their targets and the rollouts."""
    fleet = read_status(common)
    if common.as_json:
        say_json(attrs.asdict(fleet))
        return ExitCode.DONE
    say(f'cluster {fleet.cluster}, as {fleet.name} in {fleet.zone} sees it')
    _say_members(fleet)
    if fleet.rollouts:
        rows = [attrs.astuple(rollout) for rollout in fleet.rollouts]
        say('')
        say_table(('SERVICE', 'ROLLOUT', 'STATE', 'SHARE', 'WHY'), rows)
    return ExitCode.DONE


def explain(
    kind: Kind,
    name: str,
    /,
    *,
    every_node: bool = False,
    common: Common = DEFAULTS,
) -> int:
    """Show what nodes decided about a call, target, zone or rollout.

    Args:
        kind: What the name is of.
        name: The name.
        every_node: Ask all nodes, not only those named by --nodes.
        common: Flags of every command.
    """
    query = urls.urlencode({'kind': kind, 'name': name})
    events = _events_of(told_urls(common, every_node), f'/explain?{query}')
    if common.as_json:
        say_json({'events': [attrs.asdict(event) for event in events]})
    else:
        _say_events(events)
    return ExitCode.DONE


def top(*, every_node: bool = False, common: Common = DEFAULTS) -> int:
    """Show latency by service and tenant, merged exactly over nodes.

    Args:
        every_node: Ask all nodes, not only those named by --nodes.
        common: Flags of every command.
    """
    rows = _latency_rows(_merged(told_urls(common, every_node)))
    if common.as_json:
        keys = ('service', 'tenant', 'calls', *map(str, PERCENTILES))
        say_json([dict(zip(keys, row, strict=True)) for row in rows])
    else:
        names = [f'P{percentile} us' for percentile in PERCENTILES]
        say_table(('SERVICE', 'TENANT', 'CALLS', *names), rows)
    return ExitCode.DONE


def _events_of(asked: list[str], path: str) -> list[RecordedEvent]:
    """Return the events that nodes give, the oldest first."""
    events: list[RecordedEvent] = []
    failures: list[str] = []
    for url, answer in ask_nodes(asked, path):
        found = parse_events(answer.content, url)
        if isinstance(found, Failure):
            failures.append(answer.problem or f'{url}: {found.detail}')
        else:
            events.extend(found)
    _report_silent(failures, len(asked))
    return sorted(events, key=operator.attrgetter('at'))


def _say_members(fleet: FleetStatus) -> None:
    by_zone = operator.attrgetter('zone', 'name')
    members = sorted(fleet.members, key=by_zone)
    say_table(
        ('NODE', 'ZONE', 'SETTINGS', 'SERVICE', 'VERSION', 'LOAD', 'PHASE'),
        [_member_row(member) for member in members],
    )


def _member_row(member: MemberStatus) -> tuple[str, ...]:
    colour = _COLOURS().get(member.phase, RED)
    running, waiting, limit = member.running, member.waiting, member.limit
    return tuple(
        (
            member.name,
            member.zone,
            str(member.settings_version),
            member.service or '-',
            member.version or '-',
            f'{running}+{waiting} of {limit}',
            paint(member.phase or 'no target', colour),
        )
    )


def _say_events(events: list[RecordedEvent]) -> None:
    rows = [
        (event.at, event.kind, event.what, _numbers(event), event.node)
        for event in events
    ]
    say_table(('AT', 'KIND', 'WHAT', 'NUMBERS', 'NODE'), rows)


def _numbers(event: RecordedEvent) -> str:
    return ' '.join(
        f'{name}={number}' for name, number in event.numbers.items()
    )


def _merged(asked: list[str]) -> Latencies:
    merged = Latencies.from_config(MAX_MERGED_SERIES)
    failures: list[str] = []
    for url, answer in ask_nodes(asked, '/histograms'):
        failure = merge_histograms(merged, answer.content)
        if failure is not None:
            failures.append(answer.problem or f'{url}: {failure.detail}')
    _report_silent(failures, len(asked))
    return merged


def _latency_rows(merged: Latencies) -> list[tuple[Any, ...]]:
    percentiles = merged.percentiles()
    return [
        (*key, merged.count(*key), *percentiles[key].values())
        for key in merged.keys()
    ]


def _report_silent(failures: list[str], asked: int) -> None:
    """Say which nodes are missing from a result.

    Raises:
        UserError: If none answered.
    """
    if failures and len(failures) == asked:
        raise UserError(('No node answers.', *failures), ExitCode.FAILED)
    for failure in failures:
        progress(f'Not counted: {failure}')
