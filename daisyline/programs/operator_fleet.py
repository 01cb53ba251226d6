"""Commands that query nodes: status, explain and top."""

import functools
import operator
import pathlib
from typing import Annotated, Any, Literal
from urllib import parse as urls

import attrs
import cyclopts

from daisyline.programs.operator_context import (
    DEFAULT_FLAGS,
    CommonFlags,
    query_nodes,
    read_status,
    urls_to_query,
)
from daisyline.programs.operator_errors import ExitCode, UserError
from daisyline.programs.operator_output import (
    GREEN,
    RED,
    YELLOW,
    add_colour,
    print_json,
    print_line,
    print_progress,
    print_table,
)
from daisyline.protocol.decision_lines import find_decisions
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
from daisyline.state.store_time import StoreTime

Kind = Literal['call', 'target', 'zone', 'rollout']

_PHASE_COLOURS = functools.partial(
    dict, ready=GREEN, cold=YELLOW, leaving=YELLOW, done=GREEN
)


def status(*, common: CommonFlags = DEFAULT_FLAGS) -> int:
    """Show the nodes, their targets and the rollouts."""
    fleet = read_status(common)
    if common.as_json:
        print_json(attrs.asdict(fleet))
        return ExitCode.DONE
    print_line(
        f'cluster {fleet.cluster}, as seen by {fleet.name} in {fleet.zone}'
    )
    _print_members(fleet)
    if fleet.rollouts:
        rows = [attrs.astuple(rollout) for rollout in fleet.rollouts]
        print_line('')
        print_table(('SERVICE', 'ROLLOUT', 'STATE', 'SHARE', 'WHY'), rows)
    return ExitCode.DONE


def explain(
    kind: Kind,
    name: str,
    /,
    *,
    every_node: bool = False,
    log: Annotated[
        tuple[pathlib.Path, ...], cyclopts.Parameter(negative='')
    ] = (),
    common: CommonFlags = DEFAULT_FLAGS,
) -> int:
    """Show the decisions of nodes on a call, target, zone or rollout.

    Args:
        kind: The kind of object.
        name: The object's name or id.
        every_node: Query all nodes, not only those listed by --nodes.
        log: Read the nodes' logs from files in place of asking nodes.
        common: Flags of every command.
    """
    if log:
        events = _logged_events(log, kind, name)
    else:
        query = urls.urlencode({'kind': kind, 'name': name})
        events = _query_events(
            urls_to_query(common, every_node), f'/explain?{query}'
        )
    if common.as_json:
        print_json({'events': [attrs.asdict(event) for event in events]})
    else:
        _print_events(events)
    return ExitCode.DONE


def top(
    *, every_node: bool = False, common: CommonFlags = DEFAULT_FLAGS
) -> int:
    """Show latency percentiles by service and tenant.

    The histograms of the nodes are merged without loss of precision.

    Args:
        every_node: Query all nodes, not only those listed by --nodes.
        common: Flags of every command.
    """
    rows = _latency_rows(_query_latencies(urls_to_query(common, every_node)))
    if common.as_json:
        keys = ('service', 'tenant', 'calls', *map(str, PERCENTILES))
        print_json([dict(zip(keys, row, strict=True)) for row in rows])
    else:
        names = [f'P{percentile} us' for percentile in PERCENTILES]
        print_table(('SERVICE', 'TENANT', 'CALLS', *names), rows)
    return ExitCode.DONE


def _logged_events(
    paths: tuple[pathlib.Path, ...], kind: str, name: str
) -> list[RecordedEvent]:
    """Return the decisions in log files, oldest first.

    Raises:
        UserError: If a file can't be read.
    """
    events: list[RecordedEvent] = []
    for path in paths:
        try:
            with path.open(encoding='utf-8', errors='replace') as lines:
                events.extend(find_decisions(lines, kind, name))
        except OSError as error:
            raise UserError(
                (f'{path}: {error.strerror}',), ExitCode.FAILED
            ) from error
    return sorted(events, key=operator.attrgetter('at'))


def _query_events(node_urls: list[str], path: str) -> list[RecordedEvent]:
    """Return the events of the nodes, oldest first.

    Raises:
        UserError: If no node gave a valid answer.
    """
    events: list[RecordedEvent] = []
    failures: list[str] = []
    for url, answer in query_nodes(node_urls, path):
        found = parse_events(answer.content, url)
        if isinstance(found, Failure):
            failures.append(answer.problem or f'{url}: {found.detail}')
        else:
            events.extend(found)
    _report_failures(failures, len(node_urls))
    return sorted(events, key=operator.attrgetter('at'))


def _print_members(fleet: FleetStatus) -> None:
    by_zone = operator.attrgetter('zone', 'name')
    members = sorted(fleet.members, key=by_zone)
    print_table(
        ('NODE', 'ZONE', 'SETTINGS', 'SERVICE', 'VERSION', 'LOAD', 'PHASE'),
        [_member_row(member) for member in members],
    )


def _member_row(member: MemberStatus) -> tuple[str, ...]:
    colour = _PHASE_COLOURS().get(member.phase, RED)
    running, waiting, limit = member.running, member.waiting, member.limit
    return tuple(
        (
            member.name,
            member.zone,
            str(StoreTime.from_rank(member.settings_version)),
            member.service or '-',
            member.version or '-',
            f'{running}+{waiting} of {limit}',
            add_colour(member.phase or 'no target', colour),
        )
    )


def _print_events(events: list[RecordedEvent]) -> None:
    rows = [
        (event.at, event.kind, event.what, _format_numbers(event), event.node)
        for event in events
    ]
    print_table(('AT', 'KIND', 'WHAT', 'NUMBERS', 'NODE'), rows)


def _format_numbers(event: RecordedEvent) -> str:
    return ' '.join(
        f'{name}={number}' for name, number in event.numbers.items()
    )


def _query_latencies(node_urls: list[str]) -> Latencies:
    merged = Latencies.from_config(MAX_MERGED_SERIES)
    failures: list[str] = []
    for url, answer in query_nodes(node_urls, '/histograms'):
        failure = merge_histograms(merged, answer.content)
        if failure is not None:
            failures.append(answer.problem or f'{url}: {failure.detail}')
    _report_failures(failures, len(node_urls))
    return merged


def _latency_rows(merged: Latencies) -> list[tuple[Any, ...]]:
    percentiles = merged.percentiles()
    return [
        (*key, merged.count(*key), *percentiles[key].values())
        for key in merged.keys()
    ]


def _report_failures(failures: list[str], node_count: int) -> None:
    """Print the nodes that are missing from a result.

    Raises:
        UserError: If no node gave a valid answer.
    """
    if failures and len(failures) == node_count:
        raise UserError(('No node answers.', *failures), ExitCode.FAILED)
    for failure in failures:
        print_progress(f'Missing from the result: {failure}')
