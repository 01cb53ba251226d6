"""Hands the used idempotency keys of a node over to other nodes.

A node announces each key to the node that entries select next, right before
the call starts, as a killed node can no longer do so. A node that stops hands
over all keys, as members may have changed since.
"""

import functools
import itertools
from collections import defaultdict
from collections.abc import Iterator
from typing import Any

from daisyline.coordination.calls.answer_records import request_fingerprint
from daisyline.coordination.calls.call_events import StartTargetCall
from daisyline.coordination.calls.entry import Entry
from daisyline.coordination.calls.entry_call import pick_node_for_key
from daisyline.coordination.calls.messages import KeysUsed
from daisyline.coordination.calls.target_side import TargetSide
from daisyline.coordination.effects import Send

# Keeps a message near 30 KB, well below the largest frame.
MAX_KEYS_PER_MESSAGE = 500

_KeyUse = tuple[str, str]


@functools.singledispatch
def messages_before(
    effect: Any, own_name: str, entry: Entry, now: float
) -> list[Send]:
    """Return the messages that have to be sent before an effect.

    Args:
        effect: An effect for the transport layer.
        own_name: The name of this node.
        entry: The entry side of this node, which knows the other targets.
        now: Monotonic seconds.
    """
    return []


@messages_before.register
def _(
    effect: StartTargetCall, own_name: str, entry: Entry, now: float
) -> list[Send]:
    """Announce the key of a call, unless no other node has such a target."""
    run = effect.run
    if run.repeatable or not run.key:
        return []
    used = [(run.key, request_fingerprint(run))]
    return _messages(own_name, run.service, used, entry, now)


def used_keys_messages(
    own_name: str, target_side: TargetSide, entry: Entry, now: float
) -> list[Send]:
    """Return messages to the nodes that entries select next for each key.

    A receiving node refuses a repeated call with the outcome unknown, because
    the answer of the first call is not handed over.

    Args:
        own_name: The name of the node that stops.
        target_side: The side of this node that serves its target.
        entry: The entry side of this node, which knows the other targets.
        now: Monotonic seconds.
    """
    if target_side.target is None:
        return []
    used = _keys_used(target_side, now)
    return _messages(own_name, target_side.target.service, used, entry, now)


def _messages(
    own_name: str,
    service: str,
    used: list[_KeyUse],
    entry: Entry,
    now: float,
) -> list[Send]:
    candidates = entry.table.candidates(service, now)
    shares = entry.shares_of(service)
    by_node: dict[str, list[_KeyUse]] = defaultdict(list)
    for key_use in used:
        node = pick_node_for_key(
            key_use[0], candidates, shares, frozenset((own_name,))
        )
        if isinstance(node, str):
            by_node[node].append(key_use)
    return [
        Send(node, KeysUsed(batch))
        for node, keys in by_node.items()
        for batch in _batches(keys)
    ]


def _keys_used(target_side: TargetSide, now: float) -> list[_KeyUse]:
    """Return the keys of calls that ran or still run at the target."""
    running = {
        target_call.run.key: request_fingerprint(target_call.run)
        for target_call in target_side.calls.values()
        if target_call.run.key and not target_call.run.repeatable
    }
    return list((running | dict(target_side.records.keys_used(now))).items())


def _batches(keys: list[_KeyUse]) -> Iterator[tuple[_KeyUse, ...]]:
    remaining = iter(keys)
    while batch := tuple(itertools.islice(remaining, MAX_KEYS_PER_MESSAGE)):
        yield batch
