"""Clients get no broken answer of a target, over processes."""

import functools
import time

from tests.fixtures import wait_until
from tests.journeys.raw_target import RawPlace, Received
from tests.support import function_tests

load_tests = function_tests(__name__)

OK = 200
PART = b'a part of the body'
# Longer than what the kernels on the way to the target buffer.
UPLOAD = bytes(8_000_000)
# The reset comes with the part, or after it was read.
WAITS_S = (0, 0.005, 0.02, 0.05)


def _reset_after(wait_s: float, received: Received) -> None:
    received.send(received.head(b'200 OK') + PART)
    time.sleep(wait_s)
    received.reset()


def test_an_upload_whose_answer_is_reset_gets_no_part_of_it_as_whole(
    raw_place: RawPlace,
) -> None:
    got = {}
    for number in range(3):
        for wait_s in WAITS_S:
            call = f'u{number}-{wait_s}'
            # A target that fails several calls in a row gets none for a while.
            wait_until(raw_place.is_answering)
            raw_place.target.answer = functools.partial(_reset_after, wait_s)
            answer = raw_place.send(call, body=UPLOAD)
            assert raw_place.target.count_sent(call) > len(PART)
            got[call] = answer and answer[0]
    assert OK not in got.values(), got
