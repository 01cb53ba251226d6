"""Log lines begin with their part; a record in JSON is one line."""

import contextlib
import io
import json
import sys
from collections.abc import Callable, Iterator

from loguru import logger

from daisyline.programs.logs import configure, logger_for
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)

Lines = Callable[[bool], list[str]]


@fixture
def lines() -> Iterator[Lines]:
    """Give a function that logs twice and returns the lines."""

    def logged(json_lines: bool) -> list[str]:
        written = io.StringIO()
        with contextlib.redirect_stderr(written):
            configure('INFO', json_lines)
            logger_for('calls').info('Target {} left.', 'a-1')
            logger_for('calls').debug('Not written.')
        return written.getvalue().splitlines()

    yield logged
    logger.remove()
    logger.add(sys.stderr)


def test_a_line_begins_with_its_part(lines: Lines) -> None:
    written = lines(False)
    assert len(written) == 1
    assert written[0].endswith('calls: Target a-1 left.')


def test_a_record_in_json_names_its_part(lines: Lines) -> None:
    written = lines(True)
    assert len(written) == 1
    record = json.loads(written[0])['record']
    assert record['extra'] == {'part': 'calls'}
    assert record['message'] == 'Target a-1 left.'
