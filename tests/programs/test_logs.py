"""Log lines name their component; a JSON record is one line."""

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
    """Provide a function that logs two records and returns the lines."""

    def write_log(json_lines: bool) -> list[str]:
        written = io.StringIO()
        with contextlib.redirect_stderr(written):
            configure('INFO', json_lines)
            logger_for('calls').info('Target {} left.', 'a-1')
            logger_for('calls').debug('Not written.')
        return written.getvalue().splitlines()

    yield write_log
    logger.remove()
    logger.add(sys.stderr)


def test_a_line_begins_with_the_name_of_its_component(lines: Lines) -> None:
    written = lines(False)
    assert len(written) == 1
    assert written[0].endswith('calls: Target a-1 left.')


def test_a_json_record_has_the_name_of_its_component(lines: Lines) -> None:
    written = lines(True)
    assert len(written) == 1
    record = json.loads(written[0])['record']
    assert record['extra'] == {'part': 'calls'}
    assert record['message'] == 'Target a-1 left.'
