"""Decisions are logged as whole lines, bounded, and never hold the loop up."""

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
    """A log that writes into a pipe."""

    driver: LoopDriver
    reader: int
    decisions: DecisionLog

    def lines(self) -> list[dict[str, Any]]:
        """Let the loop write, and return what has come."""
        self.driver.run_for(0.1)
        octets = os.read(self.reader, READ_BYTES)
        return [json.loads(line) for line in octets.splitlines()]


@fixture
def pipe(driver: LoopDriver) -> Iterator[Pipe]:
    """Give a log whose lines can be read."""
    reader, writer = os.pipe()
    driver.stack.callback(os.close, reader)
    driver.stack.callback(os.close, writer)
    yield Pipe(
        driver, reader, DecisionLog(LineWriter(driver.loop, writer), 'n1')
    )


def test_a_line_says_when_where_and_why(pipe: Pipe) -> None:
    pipe.decisions.record_event(
        log.Refused(1.0, 'c1', target='n2', reason='slow', outcome='not-run')
    )
    line = pipe.lines()[0]
    assert line['at_node'] == 'n1'
    assert line['event'] == 'Refused'
    assert (line['call'], line['reason']) == ('c1', 'slow')
    assert line['time'] > 1_700_000_000


def test_what_exceeds_a_second_is_left_out_and_counted(pipe: Pipe) -> None:
    most = MAX_CALL_LINES_PER_S
    for number in range(most + 50):
        pipe.decisions.record_event(log.Answered(1.0, f'c{number}', status=200))
    pipe.decisions.record_event(log.SettingsChanged(1.0, version=7))
    lines = pipe.lines()
    assert len(lines) == most + 1
    assert lines[-1]['event'] == 'SettingsChanged'
    assert lines[-1]['lines_left_out'] == 50


def test_a_reader_that_stands_still_costs_lines_and_no_time(
    pipe: Pipe,
) -> None:
    long = 'x' * 1000
    for number in range(2000):
        pipe.decisions.write_message('INFO', f'{number} {long}')
    pipe.driver.run_for(0.2)
    assert pipe.driver.loop.exception_count == 0
    came = bytearray()
    while b'"text": "late"' not in came:
        came += os.read(pipe.reader, READ_BYTES)
        if came.count(b'\n') > 100:
            pipe.decisions.write_message('INFO', 'late')
        pipe.driver.run_for(0.1)
    lines = [json.loads(line) for line in came.splitlines()]
    late = [line for line in lines if line['text'] == 'late']
    left_out = sum(line.get('lines_left_out', 0) for line in lines)
    assert left_out == 2000 - (len(lines) - len(late))
    assert left_out > 0
