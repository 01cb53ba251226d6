"""Keeps descriptors free by closing connections that clients do not use."""

import resource
from collections.abc import Collection

from daisyline.coordination.memory.connection_bound import (
    choose_closed,
    connection_bound,
)
from daisyline.transport.callers import CallerConnection

# What the kernel holds for a connection of a client until it is read. Its
# default is several megabytes, which count as the memory of the machine.
RECEIVE_BUFFER_BYTES = 131_072


def make_room(opened: Collection[CallerConnection], share: float) -> bool:
    """Close a connection if there is no room for another one.

    Args:
        opened: The open connections of one kind of clients.
        share: The part of the process's descriptors that they may take.

    Returns:
        Whether another connection may be accepted.
    """
    descriptors, _hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    bound = connection_bound(descriptors, share)
    return len(opened) < bound or close_one(opened)


def close_one(opened: Collection[CallerConnection]) -> bool:
    """Close a connection without a call; return whether there was one."""
    closed = choose_closed(opened)
    if closed is not None:
        closed.drop()
    return closed is not None
