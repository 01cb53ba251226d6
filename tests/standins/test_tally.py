"""Tests of counting endings and latencies of calls."""

from standins.tally import Ending, Tally
from tests.support import function_tests

load_tests = function_tests(__name__)


def test_only_answered_calls_count_as_latencies() -> None:
    tally = Tally(sent=3)
    tally.end(Ending.ANSWERED, 0.01)
    tally.end(Ending.NOT_RUN, 5)
    assert tally.pending == 1
    assert tally.latencies.get_total_count() == 1
    assert round(tally.percentile_ms(50)) == 10


def test_tallies_are_added() -> None:
    one, other = Tally(sent=1), Tally(sent=1)
    one.end(Ending.ANSWERED, 0.001)
    other.end(Ending.CUT, 0)
    one.add(other)
    assert (one.sent, one.pending) == (2, 0)
    assert one.endings[Ending.CUT] == 1
