"""Tests of how a caller classifies the outcome of a call."""

import json

from standins.caller import ending_of
from standins.http import LostCall, Message
from standins.tally import Ending
from tests.support import function_tests

load_tests = function_tests(__name__)


def _answer(call_id: str, echoed: str, status: int = 200) -> Message:
    body = json.dumps({'call': call_id}).encode()
    return Message(status=status, headers={'x-call-id': echoed}, body=body)


def test_an_answer_counts_only_for_its_own_request() -> None:
    assert ending_of(_answer('a', 'a'), 'a') == Ending.ANSWERED
    assert ending_of(_answer('a', 'b'), 'a') == Ending.WRONG
    assert ending_of(_answer('b', 'a'), 'a') == Ending.WRONG
    assert ending_of(Message(status=200), 'a') == Ending.WRONG


def test_refusals_failures_and_losses_are_distinguished() -> None:
    for outcome in (Ending.NOT_RUN, Ending.UNKNOWN):
        headers = {'daisyline-outcome': str(outcome)}
        refusal = Message(status=503, headers=headers)
        assert ending_of(refusal, 'a') == outcome
    assert ending_of(_answer('a', 'a', status=500), 'a') == Ending.FAILED
    assert ending_of(LostCall(sent=True, answer_begun=True), 'a') == Ending.CUT
