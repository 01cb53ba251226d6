"""Tests of the store against the contract of the object API."""

from collections.abc import Iterator
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from standins.store import (
    CONFLICT,
    GONE,
    NOT_FOUND,
    OK,
    TOO_LARGE,
    VALUE_LIMIT_BYTES,
    Delete,
    ListKind,
    Read,
    Store,
    Watch,
    WatchExpired,
    Write,
)
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)


@fixture
def object_store() -> Iterator[Store]:
    yield Store()


def _write(version: int, content: Any, octets: int = 0) -> Write:
    return Write('w', 'settings', 'tree', version, content, octets)


def test_an_update_with_an_old_version_changes_nothing(
    object_store: Store,
) -> None:
    assert object_store.handle(_write(0, 'a'), 0)[0].body == {'version': 1}
    for version in (0, 2):
        reply = object_store.handle(_write(version, 'b'), 0)[0]
        assert (reply.status, reply.body) == (CONFLICT, {'version': 1})
    assert object_store.handle(Read('r', 'settings', 'tree'), 0)[0].body == {
        'name': 'tree',
        'version': 1,
        'value': 'a',
    }


def test_a_value_over_the_limit_is_rejected(object_store: Store) -> None:
    reply = object_store.handle(_write(0, 'a', VALUE_LIMIT_BYTES + 1), 0)[0]
    assert reply.status == TOO_LARGE
    assert object_store.revision == 0


def test_a_watch_waits_for_a_change_of_its_kind(object_store: Store) -> None:
    assert not object_store.handle(Watch('one', 'settings', 0, 1), 0)
    assert len(object_store.handle(Write('w', 'seeds', 'a', 0, []), 0)) == 1
    replies = object_store.handle(_write(0, 'a'), 0)
    assert [reply.token for reply in replies] == ['w', 'one']
    assert replies[1].body['revision'] == 2
    assert object_store.open_watches == 0


def test_a_deleted_object_is_shown_to_watches_alone(
    object_store: Store,
) -> None:
    object_store.handle(_write(0, 'a'), 0)
    object_store.handle(Watch('one', 'settings', 1, 1), 0)
    _, woken = object_store.handle(Delete('d', 'settings', 'tree', 1), 0)
    assert woken.body['items'][0]['value'] is None
    assert not object_store.handle(ListKind('l', 'settings'), 0)[0].body[
        'items'
    ]
    assert (
        object_store.handle(Read('r', 'settings', 'tree'), 0)[0].status
        == NOT_FOUND
    )


def test_a_watch_that_expires_answers_without_items(
    object_store: Store,
) -> None:
    watch = Watch('one', 'settings', 0, 1)
    object_store.handle(watch, 0)
    reply = object_store.handle(WatchExpired(watch), 1)[0]
    assert reply.body == {'revision': 0, 'items': []}
    assert not object_store.handle(WatchExpired(watch), 2)


def test_the_end_of_a_watch_leaves_a_newer_one_alone(
    object_store: Store,
) -> None:
    first = Watch('one', 'settings', 0, 1)
    object_store.handle(first, 0)
    object_store.handle(_write(0, 'a'), 0.5)
    object_store.handle(Watch('one', 'settings', 1, 1), 0.6)
    assert not object_store.handle(WatchExpired(first), 1)
    assert object_store.open_watches == 1


def test_stale_reads_lag_while_updates_do_not(object_store: Store) -> None:
    object_store.read_lag_s = 2
    object_store.handle(_write(0, 'a'), 10)
    object_store.handle(_write(1, 'b'), 11)
    replies = [
        object_store.handle(Read('r', 'settings', 'tree'), now)[0]
        for now in (11.5, 12.5, 13)
    ]
    assert [reply.status for reply in replies] == [NOT_FOUND, OK, OK]
    assert [reply.body.get('value') for reply in replies] == [None, 'a', 'b']


def test_each_call_is_counted_by_kind_and_verb(object_store: Store) -> None:
    object_store.handle(_write(0, 'a'), 0)
    object_store.handle(_write(0, 'a'), 0)
    object_store.handle(Watch('one', 'settings', 5, 1), 0)
    object_store.handle(ListKind('l', 'seeds'), 0)
    assert object_store.calls == {
        ('settings', 'write'): 2,
        ('settings', 'watch'): 1,
        ('seeds', 'list'): 1,
    }


_steps = st.lists(
    st.tuples(st.booleans(), st.sampled_from('abc'), st.integers(0, 6))
)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(steps=_steps)
def _check_versions(steps: list[tuple[bool, str, int]]) -> None:
    store = Store()
    versions: list[int] = []
    current: dict[str, int] = {}
    for deletes, name, version in steps:
        kind = 'settings'
        message = (
            Delete('t', kind, name, version)
            if deletes
            else Write('t', kind, name, version, 'content')
        )
        reply = store.handle(message, 0)[0]
        expected = current.get(name, 0)
        if reply.status == OK:
            assert version == expected
            versions.append(reply.body['version'])
            current[name] = 0 if deletes else reply.body['version']
        else:
            assert version != expected or (deletes and not expected)
    assert versions == list(range(1, len(versions) + 1))


def test_versions_grow_and_are_never_used_twice() -> None:
    _check_versions()


def test_a_return_from_a_copy_loses_later_writes_and_starts_an_era(
    object_store: Store,
) -> None:
    object_store.handle(_write(0, 'a'), 1)
    object_store.handle(_write(1, 'b'), 3)
    object_store.handle(Write('w', 'zones', 'late', 0, {}), 3)
    object_store.handle(Watch('one', 'settings', 3, 1), 3)
    assert object_store.restore(2) == {
        ('settings', 'tree'): 'b',
        ('zones', 'late'): {},
    }
    assert (object_store.era, object_store.revision) == (1, 1)
    assert object_store.open_watches == 0
    assert object_store.current('settings', 'tree')['value'] == 'a'
    assert not object_store.current('zones', 'late')['version']
    # Revisions are given out again; a watch from a lost one is refused.
    gone = object_store.handle(Watch('two', 'settings', 3, 1), 4)[0]
    assert gone.status == GONE
    assert object_store.handle(_write(1, 'c'), 4)[0].body == {'version': 2}
