"""Settings only move to larger versions, whatever arrives."""

import zlib

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
from tests.coordination.pump import settings_value
from tests.support import function_tests

load_tests = function_tests(__name__)


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
        spread.adopt(version, settings_value(), (), 1)
        assert spread.served.version >= served
        served = spread.served.version
        assert spread.version == served
    assert served == max(versions)


def test_a_start_waits_for_what_peers_hold() -> None:
    spread = SettingsSpread(start_until=START_WAIT_S)
    assert spread.adopt(3, settings_value(), (), 0) == []
    asked = spread.heard('peer', 5, 1)
    assert asked == [Send('peer', SettingsWanted(3))]
    assert spread.tick(('peer',), 1 + OTHER_ANSWERS_WAIT_S) == []
    assert spread.served.version == 0
    content = SettingsContent(5, pack_value(settings_value()))
    changed = spread.arrived(content, (), 1 + OTHER_ANSWERS_WAIT_S)
    assert isinstance(changed[0], SettingsChanged)
    assert spread.served.version == 5


def test_a_start_does_not_wait_for_peers_that_never_answer() -> None:
    spread = SettingsSpread(start_until=START_WAIT_S)
    spread.adopt(3, settings_value(), (), 0)
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
    spread.adopt(3, settings_value(), (), 1)
    refused = spread.adopt(4, {'tree': 1}, (), 1)
    assert isinstance(refused[0], SettingsRefused)
    assert spread.served.version == 3
    assert spread.heard('peer', 4, 1) == []


def test_a_peer_is_sent_the_tree_without_its_history() -> None:
    spread = settled_spread()
    changes = [{'id': f'change-{number}'} for number in range(64)]
    spread.adopt(3, settings_value() | {'changes': changes}, (), 1)
    sent = spread.wanted('peer', 0, 1)[0].message
    other = settled_spread()
    other.arrived(sent, (), 1)
    assert other.served == spread.served
    assert 'changes' not in unpack_value(sent.content)


def test_a_bad_tree_from_a_peer_is_refused_and_the_old_one_stays() -> None:
    spread = settled_spread()
    spread.adopt(3, settings_value(), (), 1)
    bad = pack_value({'tree': {'cluster': 7, 'zoens': {}}})
    refused = spread.arrived(SettingsContent(4, bad), (), 1)[0]
    assert isinstance(refused, SettingsRefused)
    assert [one.path for one in refused.findings] == ['cluster', 'zoens']
    nested = zlib.compress(b'[' * 100_000)
    assert spread.arrived(SettingsContent(5, nested), (), 1) == []
    assert spread.served.version == 3
    good = SettingsContent(6, pack_value(settings_value()))
    assert spread.arrived(good, (), 1)
    assert spread.served.version == 6


def test_damaged_or_endless_content_changes_nothing() -> None:
    spread = settled_spread()
    packed = pack_value(settings_value())
    endless = pack_value('a' * (MAX_CONTENT_BYTES + 1))
    for content in (b'', b'junk', packed[:-1], endless):
        assert spread.arrived(SettingsContent(4, content), (), 1) == []
    assert unpack_value(packed) == settings_value()
