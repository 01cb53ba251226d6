"""A tiny platform in memory with one settings object, and its fixture."""

import random
from collections.abc import Iterator
from typing import Any

import attrs

from daisyline.coordination.effects import (
    PlatformRead,
    PlatformReply,
    PlatformWrite,
)
from daisyline.coordination.settings_change import SettingsChange
from daisyline.coordination.settings_intents import PutTree
from daisyline.coordination.settings_results import (
    Applied,
    Author,
    Pause,
    Resume,
)
from daisyline.state.settings_edits import canonical
from tests.support import fixture

GIVE_UP_S = 5.0


@attrs.frozen
class Accepted:
    """A write that took effect."""

    change_id: str
    before: Any
    after: Any


@attrs.define
class Store:
    """One object with versions and conditional writes."""

    version: int = 0
    content: Any = None
    accepted: list[Accepted] = attrs.field(factory=list)
    late: list[PlatformWrite] = attrs.field(factory=list)

    @property
    def tree(self) -> Any:
        """Return the tree that is stored."""
        return self.content['tree'] if self.content else canonical({})

    def read(self, effect: PlatformRead) -> PlatformReply:
        """Answer a read."""
        if self.content is None:
            return PlatformReply(effect.token, 404)
        return PlatformReply(effect.token, 200, self.version, self.content)

    def write(self, effect: PlatformWrite) -> PlatformReply:
        """Write if the version is still the one named."""
        if effect.version != self.version:
            return PlatformReply(effect.token, 409, self.version)
        before = self.tree
        self.version += 3
        self.content = effect.content
        self.accepted.append(Accepted(effect.token, before, self.tree))
        return PlatformReply(effect.token, 200, self.version)


def example_tree() -> dict[str, Any]:
    """Return a tree without mistakes."""
    zones = {zone: {'region': 'fl'} for zone in ('ghent-a', 'ghent-b')}
    return {
        'cluster': 'c',
        'zones': zones,
        'services': {'docs': {}, 'shop': {}},
    }


def change_of(intent: Any, name: str = 'change-1') -> SettingsChange:
    """Return a change that has not started."""
    author = Author(name, 'an operator', '2026-01-01T00:00:00Z')
    return SettingsChange.from_config(
        intent, author, GIVE_UP_S, random.Random(1)
    )


def step(
    store: Store, change: SettingsChange, effect: Any, fate: str, now: float
) -> list[Any]:
    """Carry one effect out; its fate is how the platform fares."""
    if isinstance(effect, Pause):
        return change.handle(Resume(), now)
    if fate == 'down':
        return change.handle(PlatformReply(effect.token, 503), now)
    if isinstance(effect, PlatformRead):
        reply = store.read(effect)
    elif fate == 'late':
        store.late.append(effect)
        reply = PlatformReply(effect.token, 0)
    else:
        reply = store.write(effect)
    if fate == 'lost':
        reply = PlatformReply(effect.token, 0)
    return change.handle(reply, now)


def finish(store: Store, change: SettingsChange) -> Any:
    """Carry a whole change out on a sound platform; return its ending."""
    return finish_from(store, change, change.start())


def finish_from(
    store: Store, change: SettingsChange, effects: list[Any]
) -> Any:
    """Carry the rest of a change out; return its ending."""
    while effects:
        effects = step(store, change, effects[0], 'ok', 0)
    return change.result


def store_with_tree() -> Store:
    """Return a store that holds the example."""
    store = Store()
    first = change_of(PutTree(example_tree()), 'first')
    assert isinstance(finish(store, first), Applied)
    return store


@fixture
def settings_store() -> Iterator[Store]:
    """Give a store that holds the example."""
    yield store_with_tree()
