"""The facts of another node count as received only when all have arrived."""

from typing import Any

from daisyline.coordination.effects import Send
from daisyline.coordination.membership.gossip_messages import (
    BucketContents,
    BucketHashes,
    GossipPing,
    RecordUpdates,
)
from daisyline.coordination.membership.gossip_records import Summary
from daisyline.coordination.membership.join_progress import (
    Exchange,
    JoinProgress,
)
from daisyline.state.members import Member
from tests.support import function_tests

load_tests = function_tests(__name__)

ROOT = 5
UPDATES = RecordUpdates(())
HASHES = BucketHashes(2, ())
COMPARISON = BucketContents(1, (), (), ())


def _peer(incarnation_us: int, name: str = 'n2') -> Member:
    return Member(name, '127.0.0.1', 7402, 'z', 'r', incarnation_us)


def _started_ms(
    progress: JoinProgress, message: Any, peer: Member | None, *effects: Any
) -> list[int]:
    received = progress.record(Exchange(message, peer, ROOT, list(effects)))
    return [effect.peer_started_ms for effect in received]


def test_updates_complete_a_join_only_after_a_comparison() -> None:
    # Guards against the release of a target on the first update that comes,
    # before the fact of its departure.
    progress, peer = JoinProgress(), _peer(9_000)
    assert not _started_ms(progress, UPDATES, peer)
    assert not _started_ms(progress, HASHES, peer, Send('n2', COMPARISON))
    assert not _started_ms(progress, UPDATES, _peer(8_000, 'n3'))
    assert not _started_ms(progress, UPDATES, None)
    assert _started_ms(progress, UPDATES, peer) == [9]


def test_equal_contents_complete_a_join() -> None:
    for message in (HASHES, COMPARISON, GossipPing(1, Summary(ROOT, 0, 0))):
        assert _started_ms(JoinProgress(), message, _peer(9_000)) == [9]
    other = GossipPing(1, Summary(ROOT + 1, 0, 0))
    assert not _started_ms(JoinProgress(), other, _peer(9_000))


def test_only_nodes_that_are_older_than_those_before_count() -> None:
    progress = JoinProgress()
    starts = [
        _started_ms(progress, COMPARISON, _peer(incarnation_us))
        for incarnation_us in (9_000, 9_000, 12_000, 4_000)
    ]
    assert starts == [[9], [], [], [4]]
