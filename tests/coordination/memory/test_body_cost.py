"""A body in tiny chunks is refused, and one in usual chunks is not."""

from daisyline.coordination.memory.body_cost import FREE_BYTES, BodyCost
from tests.support import function_tests

load_tests = function_tests(__name__)


def _body(chunks: int, chunk_bytes: int) -> BodyCost:
    cost = BodyCost()
    for _ in range(chunks):
        cost.add(chunk_bytes, starts_chunk=True)
    return cost


def test_chunks_of_one_byte_are_excessive_after_the_free_part() -> None:
    assert not _body(FREE_BYTES // 6, 1).is_excessive()
    assert _body(FREE_BYTES // 6 + 1, 1).is_excessive()


def test_short_lines_as_chunks_are_not_excessive() -> None:
    assert not _body(10_000, 16).is_excessive()


def test_long_extensions_of_chunks_are_excessive() -> None:
    # Guards against chunks whose size lines are far longer than their payload.
    cost = _body(2, 1000)
    assert not cost.is_excessive(FREE_BYTES)
    assert cost.is_excessive(FREE_BYTES + 1)
