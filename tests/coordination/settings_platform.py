"""A fake platform in memory that holds one settings object."""

import random
from collections.abc import Iterator
from typing import Any

import attrs

from daisyline.coordination.effects import (
    PlatformRead,
    PlatformReply,
    PlatformWrite,
)
from daisyline.coordination.settings.settings_change import SettingsChange
from daisyline.coordination.settings.settings_intents import PutTree
from daisyline.coordination.settings.settings_results import (
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
    """A write that took effect.

    Attributes:
        change_id: The id of the change that was written.
        before: The tree before the write.
        after: The tree after the write.
    """

    change_id: str
    before: Any
    after: Any


@attrs.define
class FakeSettingsPlatform:
    """One versioned object with conditional writes.

    Attributes:
        version: The object's version.
        content: The object's value; None before the first write.
        accepted: The writes that took effect, in order.
        delayed_writes: Writes without an answer that have not arrived yet.
    """

    version: int = 0
    content: Any = None
    accepted: list[Accepted] = attrs.field(factory=list)
    delayed_writes: list[PlatformWrite] = attrs.field(factory=list)

    @property
    def tree(self) -> Any:
        """Return the stored tree."""
        return self.content['tree'] if self.content else canonical({})

    def read(self, effect: PlatformRead) -> PlatformReply:
        """Answer a read."""
        if self.content is None:
            return PlatformReply(effect.token, 404)
        return PlatformReply(effect.token, 200, self.version, self.content)

    def write(self, effect: PlatformWrite) -> PlatformReply:
        """Write if the object still has the version of the effect."""
        if effect.version != self.version:
            return PlatformReply(effect.token, 409, self.version)
        before = self.tree
        self.version += 3
        self.content = effect.content
        self.accepted.append(Accepted(effect.token, before, self.tree))
        return PlatformReply(effect.token, 200, self.version)


def example_tree() -> dict[str, Any]:
    """Return a valid settings tree."""
    zones = {zone: {'region': 'fl'} for zone in ('ghent-a', 'ghent-b')}
    return {
        'cluster': 'c',
        'zones': zones,
        'services': {'docs': {}, 'shop': {}},
    }


def make_change(intent: Any, name: str = 'change-1') -> SettingsChange:
    """Return a change that has not started yet."""
    author = Author(name, 'an operator', '2026-01-01T00:00:00Z')
    return SettingsChange.from_config(
        intent, author, GIVE_UP_S, random.Random(1)
    )


def carry_out(
    platform: FakeSettingsPlatform,
    change: SettingsChange,
    effect: Any,
    fate: str,
    now: float,
) -> list[Any]:
    """Carry out one effect of a change; return the next effects.

    Args:
        platform: The platform that reads and writes go to.
        change: The change that the effect belongs to.
        effect: The effect.
        fate: `ok`; `down`: the platform answers 503; `lost`: the effect takes
            place but its answer is lost; `late`: a write without an answer
            that takes effect later.
        now: Monotonic seconds.
    """
    if isinstance(effect, Pause):
        return change.handle(Resume(), now)
    if fate == 'down':
        return change.handle(PlatformReply(effect.token, 503), now)
    if isinstance(effect, PlatformRead):
        reply = platform.read(effect)
    elif fate == 'late':
        platform.delayed_writes.append(effect)
        reply = PlatformReply(effect.token, 0)
    else:
        reply = platform.write(effect)
    if fate == 'lost':
        reply = PlatformReply(effect.token, 0)
    return change.handle(reply, now)


def run_change(platform: FakeSettingsPlatform, change: SettingsChange) -> Any:
    """Run a change on a platform without faults; return its result."""
    return continue_change(platform, change, change.start())


def continue_change(
    platform: FakeSettingsPlatform, change: SettingsChange, effects: list[Any]
) -> Any:
    """Run the rest of a change from its next effects; return its result."""
    while effects:
        effects = carry_out(platform, change, effects[0], 'ok', 0)
    return change.result


def platform_with_tree() -> FakeSettingsPlatform:
    """Return a platform that holds the example tree."""
    platform = FakeSettingsPlatform()
    first = make_change(PutTree(example_tree()), 'first')
    assert isinstance(run_change(platform, first), Applied)
    return platform


@fixture
def settings_platform() -> Iterator[FakeSettingsPlatform]:
    """Provide a platform that holds the example tree."""
    yield platform_with_tree()
