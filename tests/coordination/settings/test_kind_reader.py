"""A watch that fails is detected, and the kind is listed again."""

import random

from daisyline.coordination.effects import (
    PlatformList,
    PlatformReply,
    PlatformWatch,
)
from daisyline.coordination.settings.kind_reader import (
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
    list_effect = reader.tick(0, watch=True)[0]
    reader.handle_reply(PlatformReply(list_effect.token, 200, 7, []), 0)
    watch = reader.tick(0, watch=True)[0]
    assert isinstance(watch, PlatformWatch)
    assert watch.since == 7
    return reader, watch


def test_a_silent_watch_times_out_before_a_change_is_due() -> None:
    reader, _watch = _watching()
    timeout_at = reader.next_at()
    assert timeout_at <= WATCH_MS / 1000 + REPLY_GRACE_S < IN_FORCE_S
    assert not reader.expire(timeout_at - 0.01)
    assert reader.expire(timeout_at)
    list_effect = reader.tick(reader.next_at(), watch=True)[0]
    assert isinstance(list_effect, PlatformList)


def test_a_watch_without_history_is_followed_by_a_list_at_once() -> None:
    reader, watch = _watching()
    assert reader.handle_reply(PlatformReply(watch.token, 410), 3) is None
    list_effect = reader.tick(3, watch=True)[0]
    assert isinstance(list_effect, PlatformList)


def test_reads_of_an_unavailable_platform_back_off_and_go_on() -> None:
    reader, watch = _watching()
    token = watch.token
    now: float = 0
    for _ in range(20):
        reader.handle_reply(PlatformReply(token, 503), now)
        assert now < reader.next_at() <= now + 2 * RETRY_MAX_S
        now = reader.next_at()
        token = reader.tick(now, watch=True)[0].token


def test_a_reader_lists_again_after_the_store_came_back() -> None:
    reader, watch = _watching()
    reader.restart(1)
    late = PlatformReply(watch.token, 200, 99, [], 1)
    assert reader.handle_reply(late, 1) is None
    listing = reader.tick(reader.next_at(), watch=True)[0]
    assert isinstance(listing, PlatformList)
    reader.handle_reply(PlatformReply(listing.token, 200, 3, [], 2), 2)
    assert reader.tick(2, watch=True)[0].since == 3


def test_a_watch_ends_in_time_for_a_list_that_is_due() -> None:
    reader = KindReader('zones', random.Random(1), 0)
    listing = reader.tick(0, watch=True)[0]
    reader.list_again(2)
    reader.handle_reply(PlatformReply(listing.token, 200, 7, []), 0)
    watch = reader.tick(0, watch=True)[0]
    assert watch.wait_ms == 2000
    reader.handle_reply(PlatformReply(watch.token, 200, 7, []), 2)
    assert isinstance(reader.tick(2, watch=True)[0], PlatformList)


def test_an_answer_to_another_read_is_ignored() -> None:
    reader, watch = _watching()
    assert reader.handle_reply(PlatformReply('old', 200, 99, []), 1) is None
    result = reader.handle_reply(
        PlatformReply(watch.token, 200, 9, [('ghent-a', 9, None)]), 1
    )
    assert result is not None
    assert not result.is_complete
    assert result.read_objects[0].content is None
