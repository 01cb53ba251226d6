"""At the limit those lose their memory that use it least."""

from daisyline.coordination.memory.memory_account import (
    ORDINARY_BYTES,
    RATE_AFTER_S,
    STALL_S,
    Cause,
    Holder,
    Kind,
    MemoryAccount,
    Revoke,
    ShortageChanged,
    limit_of,
)
from tests.support import function_tests

load_tests = function_tests(__name__)

MB = 1_000_000
LARGEST_BODY_BYTES = 67_108_864


def _holder(client: str = 'a') -> Holder:
    return Holder(Kind.REQUESTS, client)


def _held(
    account: MemoryAccount, octets: int, client: str, at: float
) -> Holder:
    holder = _holder(client)
    assert not account.hold(holder, octets, at)
    return holder


def _losers(effects: object) -> list[tuple[Holder, Cause]]:
    assert isinstance(effects, list)
    return [
        (effect.holder, effect.cause)
        for effect in effects
        if isinstance(effect, Revoke)
    ]


def test_the_largest_body_fits_into_the_smallest_machine() -> None:
    account = MemoryAccount.from_config(200)
    assert not account.hold(_holder(), LARGEST_BODY_BYTES + ORDINARY_BYTES, 0)
    assert limit_of(None) > limit_of(200)


def test_the_largest_holder_without_progress_loses_its_memory_first() -> None:
    # Guards against refusing the newest client, which may be an ordinary one.
    account = MemoryAccount(10 * MB)
    _held(account, 3 * MB, 'a', 0)
    largest = _held(account, 4 * MB, 'a', 0)
    newest = _holder()
    assert _losers(account.hold(newest, 2 * MB, STALL_S)) == [
        (largest, Cause.STALLED)
    ]
    assert account.held_bytes == 5 * MB


def test_a_body_below_the_least_rate_counts_as_stalled() -> None:
    account = MemoryAccount(10 * MB)
    slow = _held(account, 1000, 'a', 0)
    account.hold(slow, 1001, RATE_AFTER_S)
    fast = _held(account, 8 * MB, 'a', RATE_AFTER_S)
    effects = account.hold(fast, 8 * MB + 800_000, RATE_AFTER_S)
    assert _losers(effects)[0] == (slow, Cause.STALLED)


def test_a_client_over_its_share_gives_way_to_others() -> None:
    account = MemoryAccount(10 * MB)
    greedy = [_held(account, 2 * MB, 'a', 0) for _ in range(4)]
    other = _holder('b')
    losers = _losers(account.hold(other, 2 * MB, 0.5))
    assert [cause for _, cause in losers] == [Cause.CLIENT_SHARE]
    assert losers[0][0] in greedy


def test_the_slowest_of_equal_clients_gives_way() -> None:
    account = MemoryAccount(10 * MB)
    bodies = [_held(account, size * MB, 'a', 0) for size in (3, 2, 3)]
    losers = _losers(account.hold(bodies[0], 4 * MB, 0.5))
    assert losers == [(bodies[1], Cause.SLOWEST)]


def test_bodies_never_take_the_reserved_part() -> None:
    account = MemoryAccount(10 * MB)
    running = _held(account, 8 * MB, 'a', 0)
    running.is_revocable = False
    body = _holder()
    assert _losers(account.hold(body, MB, 0)) == [(body, Cause.SLOWEST)]
    for _ in range(20):
        _held(account, ORDINARY_BYTES, 'a', 0)
    assert body.is_revoked
    assert account.hold(body, MB, 0) == []


def test_small_holders_that_stall_do_not_exhaust_the_reserved_part() -> None:
    account = MemoryAccount(10 * MB)
    for _ in range(10 * MB // ORDINARY_BYTES):
        _held(account, ORDINARY_BYTES, 'a', 0)
    ordinary = _holder()
    losers = _losers(account.hold(ordinary, ORDINARY_BYTES, STALL_S))
    assert [cause for _, cause in losers] == [Cause.STALLED]
    assert ordinary.held_bytes == ORDINARY_BYTES


def test_what_is_in_use_is_never_taken() -> None:
    account = MemoryAccount(10 * MB)
    running = _held(account, 8 * MB, 'a', 0)
    running.is_revocable = False
    late = _holder()
    assert _losers(account.hold(late, 2 * MB, 9)) == [(late, Cause.SLOWEST)]
    assert running.held_bytes == 8 * MB


def test_a_shortage_is_reported_when_it_begins_and_when_it_ends() -> None:
    account = MemoryAccount(10 * MB)
    first = _held(account, 8 * MB, 'a', 0)
    first.is_revocable = False
    effects = account.hold(_holder(), 2 * MB, 0)
    assert effects[0] == ShortageChanged(True, 10 * MB, 10 * MB)
    again = account.hold(_holder(), 2 * MB, 0)
    assert not any(isinstance(effect, ShortageChanged) for effect in again)
    assert account.release(first, 0) == [ShortageChanged(False, 0, 10 * MB)]
    assert not account.held_bytes
    assert not account.by_kind[Kind.REQUESTS]
