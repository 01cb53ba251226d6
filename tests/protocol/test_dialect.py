"""What targets say of their limits is read strictly."""

import math
from fractions import Fraction

from hypothesis import given
from hypothesis import strategies as st

from daisyline.platform.wire import DIALECT
from daisyline.protocol.dialect import (
    Dialect,
    named_limit_text,
    parse_limit,
)
from daisyline.protocol.http_messages import Head
from tests.support import function_tests

load_tests = function_tests(__name__)

LEAST_PER_S = 0.25
MOST_PER_S = 1_000_000


def _head(*limits: bytes) -> Head:
    return Head(200, tuple((b'Server-Limit', limit) for limit in limits))


def test_a_limit_is_a_decimal_number_of_calls_a_second() -> None:
    assert parse_limit(b'7.25') == Fraction('7.25')
    assert parse_limit(b'12') == 12
    assert parse_limit(b'.5') == Fraction('0.5')
    assert parse_limit(b'') == 0


def test_a_limit_that_is_no_decimal_number_is_unreadable() -> None:
    for text in (b'-3', b'nan', b'inf', b'1e9', b'7,4', b'many', b'+1', b'.'):
        assert parse_limit(text) is None, text


def test_a_limit_of_nothing_and_a_huge_one_are_bounded() -> None:
    assert parse_limit(b'0') == LEAST_PER_S
    assert parse_limit(b'0.0001') == LEAST_PER_S
    assert parse_limit(b'9' * 20) == MOST_PER_S


@given(st.binary(max_size=40))
def test_any_text_of_a_limit_is_a_finite_rate_or_unreadable(
    text: bytes,
) -> None:
    per_s = parse_limit(named_limit_text(_head(text), DIALECT))
    assert per_s is None or (per_s >= 0 and math.isfinite(per_s))


def test_an_answer_without_the_header_names_no_limit() -> None:
    assert named_limit_text(_head(), DIALECT) == b''
    assert named_limit_text(_head(b'5'), Dialect()) == b''
    assert parse_limit(named_limit_text(_head(b''), DIALECT)) is None
