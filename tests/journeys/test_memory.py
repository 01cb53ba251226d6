"""Clients that nobody controls end no node and take no more than its memory.

These tests start processes and are sensitive to other load; they check that
the process is alive, its memory and descriptors, and one request afterwards.
"""

from tests.journeys import memory_rig as rig
from tests.journeys.memory_rig import SmallMachine
from tests.support import function_tests

load_tests = function_tests(__name__)

_LENGTH = f'Content-Length: {rig.BODY_BYTES}'


def test_bodies_that_lack_their_last_byte_leave_room_for_others(
    small_machine: SmallMachine,
) -> None:
    body = bytes(rig.BODY_BYTES - 1)
    small_machine.send_from_clients(
        rig.BODY_CLIENTS, rig.head_of(_LENGTH) + body
    )
    small_machine.check_node()


def test_bodies_of_one_unfinished_chunk_leave_room_for_others(
    small_machine: SmallMachine,
) -> None:
    octets = rig.chunked(rig.BODY_BYTES, rig.BODY_BYTES)
    # The end of the line after the chunk is missing.
    small_machine.send_from_clients(rig.BODY_CLIENTS, octets[:-3])
    small_machine.check_node()


def test_bodies_of_many_chunks_without_the_last_leave_room_for_others(
    small_machine: SmallMachine,
) -> None:
    octets = rig.chunked(rig.BODY_BYTES, 65_536)
    small_machine.send_from_clients(rig.BODY_CLIENTS, octets)
    small_machine.check_node()


def test_many_complete_bodies_at_once_leave_room_for_others(
    small_machine: SmallMachine,
) -> None:
    small_machine.place.control_target(work_ms=rig.SLOW_WORK_MS)
    body = bytes(rig.BODY_BYTES)
    small_machine.send_from_clients(
        rig.BODY_CLIENTS, rig.head_of(_LENGTH) + body
    )
    small_machine.place.control_target(work_ms=rig.WORK_MS)
    small_machine.check_node()


def test_chunked_bodies_over_the_limit_leave_room_for_others(
    small_machine: SmallMachine,
) -> None:
    octets = rig.chunked(2 * rig.BODY_BYTES, 65_536)
    small_machine.send_from_clients(rig.BODY_CLIENTS, octets)
    small_machine.check_node()


def test_chunks_of_one_byte_keep_no_node_from_answering_and_stopping(
    small_machine: SmallMachine,
) -> None:
    octets = rig.chunked(rig.CHUNKS, 1)
    small_machine.send_from_clients(rig.CHUNK_CLIENTS, octets)
    small_machine.check_node()
    assert small_machine.node.stop() == 0


def test_connections_without_a_whole_request_leave_descriptors(
    small_machine: SmallMachine,
) -> None:
    small_machine.limit_descriptors()
    unfinished = rig.head_of(_LENGTH)[:-2]
    small_machine.send_from_clients(rig.IDLE_CLIENTS, unfinished)
    small_machine.check_node()


def test_the_largest_body_is_served_on_the_smallest_machine(
    smallest_machine: SmallMachine,
) -> None:
    # Guards against copies of a body that together exceed the memory.
    framing = f'Content-Length: {rig.LARGEST_BODY_BYTES}'
    body = bytes(rig.LARGEST_BODY_BYTES)
    answer = smallest_machine.send_and_read(rig.head_of(framing) + body)
    assert answer.startswith(b'HTTP/1.1 200'), answer
    smallest_machine.check_node()
