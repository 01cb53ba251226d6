"""Pipelines of a soak run: their requests, and how their losses are judged."""

from standins.soak_calls import pipelined_requests
from standins.tally import Ending
from standins.target_model import BROKEN_PREFIX
from tests.standins.test_soak import Record
from tests.support import function_tests

load_tests = function_tests(__name__)

POSITIONS = ((1, 0), (5, 0), (5, 2), (5, 4))


def _broken_positions(count: int, broken: int | None) -> list[int]:
    requests = pipelined_requests(7, count, broken)
    assert len({request.headers['X-Call-Id'] for request in requests}) == count
    is_broken = [one.path.startswith(BROKEN_PREFIX) for one in requests]
    return [place for place, found in enumerate(is_broken) if found]


def test_a_pipeline_has_one_answer_that_breaks_off_at_any_position() -> None:
    for count, broken in POSITIONS:
        assert _broken_positions(count, broken) == [broken]
    assert not _broken_positions(5, None)


def test_a_lost_answer_of_a_pipeline_needs_a_fault_if_its_call_was_started(
    record: Record,
) -> None:
    record.attempt('broken', 1, Ending.CUT, path=f'{BROKEN_PREFIX}1')
    record.attempt('x', 1, Ending.CUT, is_behind=True)
    assert not record.violated_checks()
    record.start('x', 1.5)
    assert record.violated_checks() == ['cut']
