"""Bytes leave the buffer in the order in which they came, long or short."""

from hypothesis import given
from hypothesis import strategies as st

from daisyline.transport.send_buffer import SendBuffer
from tests.support import function_tests

load_tests = function_tests(__name__)


@given(
    sizes=st.lists(st.sampled_from((1, 100, 65_536, 200_000)), max_size=8),
    step=st.integers(1000, 90_000),
)
def test_all_bytes_come_out_in_order(sizes: list[int], step: int) -> None:
    pieces = [bytes([number]) * size for number, size in enumerate(sizes)]
    buffer = SendBuffer()
    for piece in pieces:
        buffer.append(piece)
    taken = b''
    while buffer:
        first = bytes(buffer.first(step))
        buffer.remove(len(first))
        taken += first
    assert taken == b''.join(pieces)
