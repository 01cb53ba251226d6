"""Tell other nodes which idempotency keys were used at one that stops."""

import itertools
from collections import defaultdict
from collections.abc import Iterator

from daisyline.coordination.answer_records import request_of
from daisyline.coordination.effects import Send
from daisyline.coordination.entry import Entry
from daisyline.coordination.entry_call import pick_node_for_key
from daisyline.coordination.messages import KeysUsed
from daisyline.coordination.owner import Owner

# Keeps a message near 30 KB, well below the largest frame.
MAX_KEYS_PER_MESSAGE = 500

_Used = tuple[str, str]


def hand_over(me: str, owner: Owner, entry: Entry, now: float) -> list[Send]:
    """Return messages to the nodes that are asked next about each key.

    They then answer a call that is sent again as perhaps run; its answer is
    not handed over.

    Args:
        me: The node that stops.
        owner: Its target's side.
        entry: Its entry's side, which knows the other targets.
        now: Monotonic seconds.
    """
    if owner.target is None:
        return []
    service = owner.target.service
    known = entry.table.candidates(service, now)
    shares = entry.shares_of(service)
    by_node: dict[str, list[_Used]] = defaultdict(list)
    for used in _keys_used(owner, now):
        node = pick_node_for_key(used[0], known, shares, frozenset((me,)))
        if isinstance(node, str):
            by_node[node].append(used)
    return [
        Send(node, KeysUsed(batch))
        for node, keys in by_node.items()
        for batch in _batches(keys)
    ]


def _keys_used(owner: Owner, now: float) -> list[_Used]:
    """Return the keys of calls that ran at the target or still do."""
    running = {
        job.run.key: request_of(job.run)
        for job in owner.jobs.values()
        if job.run.key and not job.run.repeatable
    }
    return list((running | dict(owner.records.keys_used(now))).items())


def _batches(keys: list[_Used]) -> Iterator[tuple[_Used, ...]]:
    left = iter(keys)
    while batch := tuple(itertools.islice(left, MAX_KEYS_PER_MESSAGE)):
        yield batch
