"""A silent, cut or forgotten watch is found, and the kind is listed anew."""

import random

from daisyline.coordination.effects import (
    PlatformList,
    PlatformReply,
    PlatformWatch,
)
from daisyline.coordination.kind_reader import (
    REPLY_GRACE_S,
    RETRY_MAX_S,
    WATCH_MS,
    KindReader,
)
from tests.support import function_tests

load_tests = function_tests(__name__)

IN_FORCE_S = 6.0


def _watching() -> tuple[KindReader, PlatformWatch]:
    reader = KindReader('zones', random.Random(1), 0)
    listing = reader.tick(0, watch=True)[0]
    reader.handle_reply(PlatformReply(listing.token, 200, 7, []), 0)
    watch = reader.tick(0, watch=True)[0]
    assert isinstance(watch, PlatformWatch)
    assert watch.since == 7
    return reader, watch


def test_a_silent_watch_is_found_within_the_bound_on_changes() -> None:
    reader, _watch = _watching()
    found_at = reader.next_at()
    assert found_at <= WATCH_MS / 1000 + REPLY_GRACE_S < IN_FORCE_S
    assert not reader.expire(found_at - 0.01)
    assert reader.expire(found_at)
    listing = reader.tick(reader.next_at(), watch=True)[0]
    assert isinstance(listing, PlatformList)


def test_a_history_that_is_gone_is_listed_at_once() -> None:
    reader, watch = _watching()
    assert reader.handle_reply(PlatformReply(watch.token, 410), 3) is None
    listing = reader.tick(3, watch=True)[0]
    assert isinstance(listing, PlatformList)


def test_reads_of_a_store_that_is_away_grow_rare_but_go_on() -> None:
    reader, watch = _watching()
    token = watch.token
    now: float = 0
    for _ in range(20):
        reader.handle_reply(PlatformReply(token, 503), now)
        assert now < reader.next_at() <= now + 2 * RETRY_MAX_S
        now = reader.next_at()
        token = reader.tick(now, watch=True)[0].token


def test_an_answer_to_another_read_changes_nothing() -> None:
    reader, watch = _watching()
    assert reader.handle_reply(PlatformReply('old', 200, 99, []), 1) is None
    result = reader.handle_reply(
        PlatformReply(watch.token, 200, 9, [('ghent-a', 9, None)]), 1
    )
    assert result is not None
    assert not result.is_complete
    assert result.read_objects[0].content is None
