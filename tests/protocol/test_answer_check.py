"""Only an answer that is the call's own counts as one."""

from daisyline.protocol.answer_check import Verdict, classify_head
from daisyline.protocol.dialect import Dialect, parse_pace
from daisyline.protocol.http_messages import Head
from tests.support import function_tests

load_tests = function_tests(__name__)

STRICT = Dialect(
    request_id=b'x-id',
    expected_instance=b'X-Expected',
    declined=b'x-declined',
    signature=b'x-signed',
    load=b'x-load',
)
OWN = ((b'X-Id', b'a1'), (b'X-Signed', b's'))


def _verdict(status: int, *headers: tuple[bytes, bytes]) -> Verdict:
    return classify_head(Head(status, headers), b'a1', STRICT)


def test_an_answer_with_id_and_signature_is_the_calls_own() -> None:
    assert _verdict(200, *OWN) is Verdict.OWN
    assert _verdict(500, *OWN) is Verdict.OWN


def test_an_answer_to_another_request_is_foreign() -> None:
    late = ((b'X-Id', b'a0'), (b'X-Signed', b's'))
    assert _verdict(200, *late) is Verdict.FOREIGN
    assert _verdict(503, *late, (b'X-Declined', b'1')) is Verdict.FOREIGN


def test_an_answer_that_no_target_has_signed_is_foreign() -> None:
    assert _verdict(200, (b'X-Id', b'a1')) is Verdict.FOREIGN
    assert _verdict(200, (b'X-Signed', b's')) is Verdict.FOREIGN
    assert _verdict(500) is Verdict.FOREIGN


def test_a_target_that_did_not_run_a_call_says_so() -> None:
    assert _verdict(503, (b'X-Declined', b'1')) is Verdict.DECLINED
    assert _verdict(421) is Verdict.DECLINED


def test_a_dialect_without_such_headers_takes_every_answer() -> None:
    assert classify_head(Head(200, ()), b'', Dialect()) is Verdict.OWN
    assert classify_head(Head(421, ()), b'', Dialect()) is Verdict.OWN


def test_a_pace_that_cant_be_read_is_none() -> None:
    for said, pace in (
        (b'3,0,8,400', 400),
        (b'3, 0, 8, 100', 100),
        (b'3,0,8', 0),
        (b'3,0,8,fast', 0),
        (b'3,0,8,-1', 0),
        (b'3,0,8,99999999999999', 100_000),
        (b'', 0),
    ):
        assert parse_pace(Head(200, ((b'X-Load', said),)), STRICT) == pace
    assert parse_pace(Head(200, ()), STRICT) == 0
    assert parse_pace(Head(200, ((b'X-Load', b'1,1,1,9'),)), Dialect()) == 0
