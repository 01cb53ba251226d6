"""Tests of the effects, the output and the errors of operators' commands."""

import contextlib
import io
import json
import pathlib
import tempfile
from collections.abc import Iterator
from typing import Any
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from daisyline.programs import operator_config
from daisyline.programs.operator import command_line, run
from daisyline.state.histograms import Latencies
from tests.coordination.settings_platform import example_tree
from tests.programs.operator_rig import Rig
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)


@fixture
def file() -> Iterator[pathlib.Path]:
    """Provide the path of a file that does not exist yet."""
    with tempfile.TemporaryDirectory() as folder:
        yield pathlib.Path(folder) / 'settings.json'


def write_edited_copy(rig: Rig, file: pathlib.Path, **defaults: Any) -> None:
    """Write a copy of the settings with changed defaults to a file."""
    settings_copy = json.loads(rig.command('config', 'show')[1])
    settings_copy['tree']['defaults'].update(defaults)
    file.write_text(json.dumps(settings_copy))


def test_a_zone_is_taken_out_and_the_command_waits_for_all_nodes(
    rig: Rig,
) -> None:
    code, output, messages = rig.command(
        'zone', 'out', 'ghent-a', '--nodes', rig.url
    )
    assert code == 0
    assert 'edited zones.ghent-a.state' in output
    assert 'In force on all 1 nodes' in messages
    assert rig.platform.tree['zones']['ghent-a']['state'] == 'out'
    code, output, _ = rig.command('zone', 'out', 'ghent-a')
    assert (code, len(rig.platform.accepted)) == (0, 2)
    assert 'nothing was written' in output


def test_a_node_without_the_change_is_named(
    rig: Rig,
) -> None:
    rig.settings_follow = False
    code, _, messages = rig.command(
        'zone', 'out', 'ghent-a', '--nodes', rig.url, '--wait', '0.3'
    )
    assert code == 5
    assert 'Not yet in force on node-1' in messages


def test_a_change_whose_answer_is_lost_is_found(rig: Rig) -> None:
    rig.answers_to_lose = 1
    code, output, _ = rig.command('zone', 'out', 'ghent-a')
    assert code == 0
    assert 'Accepted as version' in output
    assert len(rig.platform.accepted) == 2


def test_an_edited_copy_is_applied_and_recorded_in_the_history(
    rig: Rig, file: pathlib.Path
) -> None:
    write_edited_copy(rig, file, slots_per_upstream=9)
    assert 'null' not in rig.command('config', 'diff', str(file))[1]
    rig.command('zone', 'out', 'ghent-b')
    assert rig.command('config', 'apply', str(file))[0] == 0
    assert rig.platform.tree['defaults'] == {'slots_per_upstream': 9}
    assert rig.platform.tree['zones']['ghent-b']['state'] == 'out'
    history = rig.command('config', 'history')[1]
    assert 'edit defaults.slots_per_upstream' in history
    assert history.count('ann') == 2


def test_a_conflict_shows_both_changes(rig: Rig, file: pathlib.Path) -> None:
    write_edited_copy(rig, file, slots_per_upstream=9)
    other = file.with_name('other.json')
    write_edited_copy(rig, other, slots_per_upstream=7)
    assert rig.command('config', 'apply', str(other))[0] == 0
    code, _, messages = rig.command('config', 'apply', str(file))
    assert code == 3
    assert 'yours 9' in messages
    assert 'in force 7' in messages
    assert rig.platform.tree['defaults'] == {'slots_per_upstream': 7}


def test_invalid_files_leave_the_settings_unchanged(
    rig: Rig, file: pathlib.Path
) -> None:
    before = rig.platform.version
    for text in ('', '[]', '{"tree": 1}', '{"version": 1, "tree": []}', '{}'):
        file.write_text(text)
        code, _, messages = rig.command('config', 'apply', str(file))
        assert code == 2
        assert messages.startswith('daisyline: ')
    file.write_text(json.dumps(example_tree()))
    assert rig.command('config', 'apply', str(file))[0] == 2
    assert rig.command('config', 'apply', '--whole', str(file))[0] == 0
    assert rig.platform.version == before


def test_a_rollout_is_started_shown_and_stopped(rig: Rig) -> None:
    flags = ('--old', '1', '--new', '2', '--finish-in-s', '600', '--id', 'r1')
    assert rig.command('rollout', 'start', 'docs', *flags)[0] == 0
    rows = json.loads(rig.command('rollout', 'status', '--json')[1])
    assert rows[0]['wanted'] == 'moving'
    second = ('--old', '1', '--new', '3', '--finish-in-s', '600')
    assert rig.command('rollout', 'start', 'docs', *second)[0] == 3
    assert rig.command('rollout', 'stop', 'docs')[0] == 0
    assert rig.platform.tree['rollouts']['docs']['state'] == 'stopped'
    assert rig.command('rollout', 'start', 'none', *second)[0] == 2


def test_a_rollout_that_is_over_is_replaced_by_the_next(rig: Rig) -> None:
    first = ('--old', '1', '--new', '2', '--finish-in-s', '600', '--id', 'r1')
    rig.command('rollout', 'start', 'docs', *first)
    state = {'id': 'r1', 'state': 'rolled-back', 'why': 'it failed'}
    rig.answers['/v1/objects/rollouts/docs'] = {
        'version': 9,
        'value': state,
    }
    rows = rig.command('rollout', 'status')[1]
    assert 'rolled-back' in rows
    assert 'it failed' in rows
    second = ('--old', '1', '--new', '3', '--finish-in-s', '600')
    assert rig.command('rollout', 'start', 'docs', *second)[0] == 0
    assert rig.platform.tree['rollouts']['docs']['new'] == '3'


def test_names_from_callers_can_not_control_the_terminal(rig: Rig) -> None:
    rig.answers['/explain?kind=call&name=x'] = {
        'events': [{'at': 1, 'kind': 'call', 'what': 'a\x1b[2Jb\nc'}]
    }
    output = rig.command('explain', 'call', 'x', '--nodes', rig.url)[1]
    assert 'a?[2Jb?c' in output


def test_each_command_on_the_operators_page_is_valid() -> None:
    page = pathlib.Path(__file__).resolve().parents[2] / 'docs/operators.md'
    lines = page.read_text(encoding='utf-8').splitlines()
    commands = [
        line.split('>')[0].split()[1:]
        for line in lines
        if line.startswith('    daisyline ')
    ]
    assert len(commands) > 15
    for argv in commands:
        command_line().parse_args(argv, exit_on_error=False, print_error=False)


def test_effective_limits_show_where_they_are_set(rig: Rig) -> None:
    code, output, _ = rig.command(
        'config', 'show', '--effective', 'services.docs.zones.ghent-a'
    )
    assert code == 0
    assert 'built in' in output
    assert rig.command('config', 'show', '--effective', 'dcos')[0] == 2


def test_histograms_are_merged_over_nodes(rig: Rig) -> None:
    latencies = Latencies.from_config()
    for latency_us in (100, 200, 300):
        latencies.record('docs', 'acme', latency_us)
    encoded = latencies.encode()['docs', 'acme']
    rig.answers['/histograms'] = {'services': {'docs': {'acme': encoded}}}
    both = f'{rig.url},{rig.url}'
    code, output, _ = rig.command('top', '--json', '--nodes', both)
    assert code == 0
    assert json.loads(output)[0]['calls'] == 6


def test_explained_events_are_in_order_of_time(rig: Rig) -> None:
    rig.answers['/explain?kind=zone&name=ghent-a'] = {
        'events': [
            {'at': 2, 'kind': 'zone', 'what': 'in', 'share': 0.5},
            {'at': 1, 'kind': 'zone', 'what': 'out'},
        ]
    }
    code, output, _ = rig.command(
        'explain', 'zone', 'ghent-a', '--nodes', rig.url
    )
    lines = output.splitlines()
    assert code == 0
    assert 'out' in lines[1]
    assert 'share=0.5' in lines[2]


def test_a_node_with_an_invalid_answer_is_reported(rig: Rig) -> None:
    for answer in (None, [], {'services': 7}, {'services': {'a': {'b': '!'}}}):
        rig.answers['/histograms'] = answer
        code, _, messages = rig.command('top', '--nodes', rig.url)
        assert code == 1
        assert 'No node answers' in messages


def test_status_shows_each_node(rig: Rig) -> None:
    code, output, _ = rig.command('status', '--nodes', rig.url)
    assert code == 0
    assert 'node-1' in output


@settings(derandomize=True, max_examples=80, deadline=None)
@given(
    argv=st.lists(
        st.sampled_from(
            (
                'config',
                'zone',
                'rollout',
                'status',
                'top',
                'explain',
                'show',
                'apply',
                'out',
                'start',
                '--json',
                '--nodes',
                '--wait',
                '--effective',
                'nan',
                '[]',
            )
        )
        | st.text(max_size=3),
        max_size=5,
    )
)
def test_no_command_line_ends_in_a_traceback(argv: list[str]) -> None:
    ignored = io.StringIO()
    with (
        contextlib.redirect_stdout(ignored),
        contextlib.redirect_stderr(ignored),
    ):
        assert run(argv) in {0, 2}
    assert 'fault' not in ignored.getvalue()


def test_an_invalid_flag_is_refused_before_anything_is_written(
    rig: Rig,
) -> None:
    for wait in ('nan', 'inf', '-1', '1e9'):
        code, _, messages = rig.command(
            'zone', 'out', 'ghent-a', '--nodes', rig.url, f'--wait={wait}'
        )
        assert code == 2
        assert '--wait' in messages
    code, _, _ = rig.command('zone', 'out', 'ghent-a', '--nodes', 'nohttp')
    assert code == 2
    assert rig.platform.tree['zones']['ghent-a'].get('state') is None


def test_an_internal_fault_is_reported_on_one_line(rig: Rig) -> None:
    with mock.patch.object(
        operator_config, 'read_stored_settings', side_effect=KeyError
    ):
        code, _, messages = rig.command('config', 'show')
    assert code == 1
    assert messages.count('\n') == 1


def test_an_unavailable_platform_has_its_own_exit_code(rig: Rig) -> None:
    rig.is_unavailable = True
    code, _, messages = rig.command('config', 'show')
    assert code == 4
    assert 'platform' in messages


def test_decisions_are_read_from_logs_without_any_node(rig: Rig) -> None:
    lines = (
        '{"time": 2.5, "at_node": "n2", "event": "Admitted", "call": "c1~n1-7"}',
        '0.1 n1 {"time": 1.5, "at_node": "n1", "event": "Picked", '
        '"call": "c1~n1-7", "target": "n2", "attempt": 1}',
        '{"time": 3, "at_node": "n1", "event": "Answered", "call": "c12"}',
        'not a decision {"time": "x", "event": 1, "call": "c1"}',
        '{"time": 1, "call": "c1"',
        '[' * 10_000,
    )
    with tempfile.TemporaryDirectory() as folder:
        log = pathlib.Path(folder, 'node.log')
        log.write_text('\n'.join(lines))
        by_caller = rig.command('explain', 'call', 'c1', '--log', str(log))
        whole = rig.command(
            'explain', 'call', 'c1~n1-7', '--log', str(log), '--json'
        )
        absent = rig.command('explain', 'call', 'c1', '--log', f'{log}.gone')
    code, output, _ = by_caller
    shown = output.splitlines()
    assert (code, len(shown)) == (0, 3)
    assert 'Picked' in shown[1]
    assert 'target=n2' in shown[1]
    assert 'Admitted' in shown[2]
    events = json.loads(whole[1])['events']
    assert [event['at'] for event in events] == [1.5, 2.5]
    assert absent[0] != 0
    assert 'node.log.gone' in absent[2]
