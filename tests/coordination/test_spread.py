"""Settings only move to larger versions, whatever arrives."""

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from daisyline.coordination.effects import Send
from daisyline.coordination.fleet_events import (
    SettingsChanged,
    SettingsRefused,
)
from daisyline.coordination.gossip_messages import (
    SettingsContent,
    SettingsWanted,
)
from daisyline.coordination.spread import (
    MAX_CONTENT_BYTES,
    OTHER_ANSWERS_WAIT_S,
    START_WAIT_S,
    SettingsSpread,
    pack_value,
    unpack_value,
)
from tests.support import function_tests

load_tests = function_tests(__name__)


def value() -> dict[str, Any]:
    return {'tree': {'defaults': {}}, 'changes': []}


def settled_spread() -> SettingsSpread:
    spread = SettingsSpread(start_until=0)
    spread.tick((), 0)
    assert spread.settled
    return spread


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.integers(1, 9), min_size=1, max_size=12))
def test_the_largest_version_holds_in_any_order(versions: list[int]) -> None:
    spread = settled_spread()
    served = 0
    for version in versions:
        spread.adopt(version, value(), (), 1)
        assert spread.served.version >= served
        served = spread.served.version
    assert served == max(versions)


def test_a_start_waits_for_what_peers_hold() -> None:
    spread = SettingsSpread(start_until=START_WAIT_S)
    assert spread.adopt(3, value(), (), 0) == []
    asked = spread.heard('peer', 5, 1)
    assert asked == [Send('peer', SettingsWanted(3))]
    assert spread.tick(('peer',), 1 + OTHER_ANSWERS_WAIT_S) == []
    assert spread.served.version == 0
    content = SettingsContent(5, pack_value(value()))
    changed = spread.arrived(content, (), 1 + OTHER_ANSWERS_WAIT_S)
    assert isinstance(changed[0], SettingsChanged)
    assert spread.served.version == 5


def test_a_start_does_not_wait_for_peers_that_never_answer() -> None:
    spread = SettingsSpread(start_until=START_WAIT_S)
    spread.adopt(3, value(), (), 0)
    assert spread.next_at() == START_WAIT_S
    assert len(spread.tick((), START_WAIT_S)) == 1
    assert spread.served.version == 3


def test_another_peer_is_asked_if_one_does_not_answer() -> None:
    spread = settled_spread()
    spread.heard('first', 5, 1)
    spread.heard('second', 5, 1)
    effects = spread.tick(('first', 'second'), spread.next_at())
    assert effects == [Send('second', SettingsWanted(0))]


def test_unusable_settings_are_refused_and_the_old_ones_stay() -> None:
    spread = settled_spread()
    spread.adopt(3, value(), (), 1)
    refused = spread.adopt(4, {'tree': 1}, (), 1)
    assert isinstance(refused[0], SettingsRefused)
    assert spread.served.version == 3
    assert spread.heard('peer', 4, 1) == []


def test_damaged_or_endless_content_changes_nothing() -> None:
    spread = settled_spread()
    packed = pack_value(value())
    endless = pack_value('a' * (MAX_CONTENT_BYTES + 1))
    for content in (b'', b'junk', packed[:-1], endless):
        assert spread.arrived(SettingsContent(4, content), (), 1) == []
    assert unpack_value(packed) == value()
