"""Crowds at the other doors of a machine, and beside a start and a stop.

Like those of `test_memory`, these tests are sensitive to other load.
"""

import threading

from tests.fixtures import wait_until
from tests.journeys import memory_rig as rig
from tests.journeys.memory_rig import SmallMachine
from tests.support import function_tests

load_tests = function_tests(__name__)

# A binary of msgpack that lacks its last byte.
FRAME = b'\xc6%s%s' % (
    rig.BODY_BYTES.to_bytes(4, 'big'),
    bytes(rig.BODY_BYTES - 1),
)


def test_unfinished_bodies_at_the_port_for_targets_leave_room_for_others(
    small_machine: SmallMachine,
) -> None:
    _send_each_shape(small_machine, 'notices')


def test_unfinished_bodies_at_the_port_for_readiness_leave_room_for_others(
    small_machine: SmallMachine,
) -> None:
    _send_each_shape(small_machine, 'ready')


def test_unfinished_bodies_at_the_operators_port_leave_room_for_others(
    small_machine: SmallMachine,
) -> None:
    _send_each_shape(small_machine, 'operators')


def test_unfinished_bodies_at_the_callers_port_leave_room_for_others(
    small_machine: SmallMachine,
) -> None:
    _send_each_shape(small_machine, 'callers')


def test_unfinished_frames_at_the_port_for_nodes_leave_room_for_others(
    small_machine: SmallMachine,
) -> None:
    small_machine.send_from_clients(rig.DOOR_CLIENTS, FRAME, ('peers',))
    small_machine.check_node()


def test_bodies_less_a_byte_at_all_doors_at_once_leave_room_for_others(
    small_machine: SmallMachine,
) -> None:
    octets = rig.shape_of_body('less a byte')
    small_machine.send_from_clients(rig.DOOR_CLIENTS, octets, rig.DOORS)
    small_machine.check_node()


def test_bodies_far_over_the_limit_at_all_doors_leave_room_for_others(
    small_machine: SmallMachine,
) -> None:
    octets = rig.shape_of_body('sent far over the limit')
    small_machine.send_from_clients(rig.DOOR_CLIENTS, octets, rig.DOORS)
    small_machine.check_node()


def test_chunks_of_a_byte_at_all_doors_at_once_leave_room_for_others(
    small_machine: SmallMachine,
) -> None:
    octets = rig.shape_of_body('chunks of a byte')
    small_machine.send_from_clients(rig.DOOR_CLIENTS, octets, rig.DOORS)
    small_machine.check_node()


def test_crowds_that_leave_and_come_back_leave_room_for_others(
    small_machine: SmallMachine,
) -> None:
    # Guards against bytes that are held after their connection has closed.
    for _ in range(rig.CROWDS):
        _send_and_leave(small_machine, 'less a byte', 'callers')
        small_machine.check_node()


def test_crowds_with_longer_and_longer_bodies_leave_room_for_others(
    smallest_machine: SmallMachine,
) -> None:
    # Guards against holes in the heap: bodies that grow side by side leave
    # ones that are too small for the longer bodies of the next crowd.
    for length in rig.GROWING_BODIES * rig.GROWING_ROUNDS:
        octets = rig.chunked(length, rig.CHUNK_BYTES)
        smallest_machine.send_from_clients(rig.GROWING_CLIENTS, octets)
        smallest_machine.close()
    smallest_machine.check_node()


def test_crowds_of_frames_that_come_back_leave_room_for_others(
    small_machine: SmallMachine,
) -> None:
    for _ in range(rig.CROWDS):
        small_machine.send_from_clients(rig.DOOR_CLIENTS, FRAME, ('peers',))
        small_machine.close()
        small_machine.check_node()


def test_a_crowd_beside_the_start_of_a_node_leaves_room_for_others(
    small_machine: SmallMachine,
) -> None:
    small_machine.node.kill()
    small_machine.restart_node()
    wait_until(small_machine.place.is_listening)
    octets = rig.shape_of_body('less a byte')
    small_machine.send_from_clients(rig.DOOR_CLIENTS, octets, rig.DOORS)
    small_machine.check_node()


def test_a_crowd_beside_the_stop_of_a_node_does_not_end_or_hold_it(
    small_machine: SmallMachine,
) -> None:
    crowd = threading.Thread(
        target=small_machine.send_from_clients,
        args=(rig.DOOR_CLIENTS, rig.shape_of_body('large chunks'), rig.DOORS),
    )
    crowd.start()
    small_machine.check_node()
    assert small_machine.node.stop() == 0
    crowd.join()


def _send_each_shape(machine: SmallMachine, door: str) -> None:
    for shape in rig.SHAPES:
        _send_and_leave(machine, shape, door)


def _send_and_leave(machine: SmallMachine, shape: str, door: str) -> None:
    octets = rig.shape_of_body(shape)
    machine.send_from_clients(rig.DOOR_CLIENTS, octets, (door,))
    machine.check_node()
    machine.close()
