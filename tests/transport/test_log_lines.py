"""Decisions are logged as whole lines, rate-limited and without blocking."""

import json
import os
from collections.abc import Iterator
from typing import Any

import attrs

from daisyline.coordination import events as log
from daisyline.transport.log_lines import (
    MAX_CALL_LINES_PER_S,
    DecisionLog,
    LineWriter,
)
from tests.support import fixture, function_tests
from tests.transport.rig import LoopDriver

load_tests = function_tests(__name__)

READ_BYTES = 1_000_000


@attrs.define
class Pipe:
    """A decision log that writes to a pipe."""

    driver: LoopDriver
    reader: int
    decisions: DecisionLog

    def lines(self) -> list[dict[str, Any]]:
        """Run the loop briefly; return the lines written."""
        self.driver.run_for(0.1)
        octets = os.read(self.reader, READ_BYTES)
        return [json.loads(line) for line in octets.splitlines()]


@fixture
def pipe(driver: LoopDriver) -> Iterator[Pipe]:
    """A decision log whose lines the test reads from a pipe."""
    reader, writer = os.pipe()
    driver.stack.callback(os.close, reader)
    driver.stack.callback(os.close, writer)
    yield Pipe(
        driver, reader, DecisionLog(LineWriter(driver.loop, writer), 'n1')
    )


def test_a_line_has_time_node_event_and_reason(pipe: Pipe) -> None:
    pipe.decisions.record_event(
        log.Refused(1.0, 'c1', target='n2', reason='slow', outcome='not-run')
    )
    line = pipe.lines()[0]
    assert line['at_node'] == 'n1'
    assert line['event'] == 'Refused'
    assert (line['call'], line['reason']) == ('c1', 'slow')
    assert line['time'] > 1_700_000_000


def test_lines_beyond_the_limit_of_a_second_are_counted(pipe: Pipe) -> None:
    limit = MAX_CALL_LINES_PER_S
    for number in range(limit + 50):
        pipe.decisions.record_event(log.Answered(1.0, f'c{number}', status=200))
    pipe.decisions.record_event(log.SettingsChanged(1.0, version=7))
    lines = pipe.lines()
    assert len(lines) == limit + 1
    assert lines[-1]['event'] == 'SettingsChanged'
    assert lines[-1]['lines_left_out'] == 50


def test_a_stalled_reader_costs_lines_and_never_blocks(
    pipe: Pipe,
) -> None:
    long = 'x' * 1000
    for number in range(2000):
        pipe.decisions.write_message('INFO', f'{number} {long}')
    pipe.driver.run_for(0.2)
    assert pipe.driver.loop.exception_count == 0
    received = bytearray()
    while b'"text": "late"' not in received:
        received += os.read(pipe.reader, READ_BYTES)
        if received.count(b'\n') > 100:
            pipe.decisions.write_message('INFO', 'late')
        pipe.driver.run_for(0.1)
    lines = [json.loads(line) for line in received.splitlines()]
    late = [line for line in lines if line['text'] == 'late']
    omitted = sum(line.get('lines_left_out', 0) for line in lines)
    assert omitted == 2000 - (len(lines) - len(late))
    assert omitted > 0
