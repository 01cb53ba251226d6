"""Answers of other requests or other processes are not taken for the call's."""

from daisyline.protocol.answer_check import (
    MAX_REMEMBERED_IDS,
    AnswerCheck,
    Verdict,
)
from daisyline.protocol.dialect import Dialect, parse_pace
from daisyline.protocol.http_messages import Head
from tests.support import function_tests

load_tests = function_tests(__name__)

FULL_DIALECT = Dialect(
    request_id=b'x-id',
    expected_instance=b'X-Expected',
    declined=b'x-declined',
    signature=b'x-signed',
    load=b'x-load',
)
OWN = ((b'X-Id', b'a1'), (b'X-Signed', b's'))


def _verdict(status: int, *headers: tuple[bytes, bytes]) -> Verdict:
    return _check().classify(Head(status, headers))


def _check(*request_ids: bytes) -> AnswerCheck:
    """Return the check of a connection that has sent requests, `a1` last."""
    check = AnswerCheck(FULL_DIALECT)
    for request_id in (*request_ids, b'a1'):
        check.expect(request_id)
    return check


def test_an_answer_with_id_and_signature_is_the_calls_own() -> None:
    assert _verdict(200, *OWN) is Verdict.OWN
    assert _verdict(500, *OWN) is Verdict.OWN


def test_an_answer_to_another_request_is_foreign() -> None:
    late_answer = ((b'X-Id', b'a0'), (b'X-Signed', b's'))
    assert _verdict(200, *late_answer) is Verdict.FOREIGN
    assert _verdict(503, *late_answer, (b'X-Declined', b'1')) is Verdict.FOREIGN


def test_an_answer_that_no_target_has_signed_is_foreign() -> None:
    assert _verdict(200, (b'X-Id', b'a1')) is Verdict.FOREIGN
    assert _verdict(200, (b'X-Signed', b's')) is Verdict.FOREIGN
    assert _verdict(500) is Verdict.FOREIGN


def test_an_answer_that_declines_the_call_is_recognized() -> None:
    assert _verdict(503, (b'X-Declined', b'1')) is Verdict.DECLINED
    assert _verdict(421) is Verdict.DECLINED


def test_a_dialect_without_such_headers_accepts_every_answer() -> None:
    for status in (200, 421):
        check = AnswerCheck(Dialect())
        check.expect(b'c1')
        assert check.classify(Head(status, ())) is Verdict.OWN
        assert not check.has_id


def test_answers_are_told_apart_by_the_id_of_the_call() -> None:
    check = AnswerCheck(Dialect())
    check.expect(b'c1')
    assert check.classify(Head(200, (), call=b'c1')) is Verdict.OWN
    assert check.has_id
    check.expect(b'c2')
    assert check.classify(Head(200, (), call=b'c1')) is Verdict.REPEATED
    assert check.classify(Head(200, (), call=b'c9')) is Verdict.FOREIGN
    assert check.classify(Head(200, ())) is Verdict.FOREIGN


def test_a_refusal_of_an_earlier_call_proves_nothing_about_this_one() -> None:
    refusal = ((b'X-Declined', b'1'),)
    check = _check(b'a0')
    repeated = Head(503, ((b'X-Id', b'a0'), *refusal))
    assert check.classify(repeated) is Verdict.REPEATED
    assert check.classify(Head(503, refusal)) is Verdict.FOREIGN
    assert check.classify(Head(421, ())) is Verdict.FOREIGN
    own = Head(503, ((b'X-Id', b'a1'), *refusal))
    assert check.classify(own) is Verdict.DECLINED


def test_the_number_of_remembered_ids_is_bounded() -> None:
    sent = [f'a-{number}'.encode() for number in range(MAX_REMEMBERED_IDS + 1)]
    check = _check(*sent)
    assert not check.has_answered(sent[0])
    assert check.has_answered(sent[1])
    assert check.has_answered(b'a1')
    assert not check.has_answered(b'')


def test_a_malformed_pace_is_parsed_as_zero() -> None:
    for load, pace in (
        (b'3,0,8,400', 400),
        (b'3, 0, 8, 100', 100),
        (b'3,0,8', 0),
        (b'3,0,8,fast', 0),
        (b'3,0,8,-1', 0),
        (b'3,0,8,99999999999999', 100_000),
        (b'', 0),
    ):
        assert parse_pace(Head(200, ((b'X-Load', load),)), FULL_DIALECT) == pace
    assert parse_pace(Head(200, ()), FULL_DIALECT) == 0
    assert parse_pace(Head(200, ((b'X-Load', b'1,1,1,9'),)), Dialect()) == 0
