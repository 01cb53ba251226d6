"""The version of the settings in force never decreases."""

import zlib
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from daisyline.coordination.effects import Send
from daisyline.coordination.membership.fleet_events import (
    SettingsChanged,
    SettingsRefused,
)
from daisyline.coordination.membership.gossip_messages import (
    SettingsContent,
    SettingsRequest,
)
from daisyline.coordination.settings.settings_spread import (
    MAX_CONTENT_BYTES,
    OTHER_ANSWERS_WAIT_S,
    START_WAIT_S,
    SettingsSpread,
    pack_value,
    unpack_value,
)
from daisyline.state.store_time import StoreTime
from tests.coordination import pump
from tests.support import function_tests

load_tests = function_tests(__name__)


def settings_value(edition: int = 0) -> dict[str, Any]:
    return pump.settings_value() | {'edition': edition}


def started_spread() -> SettingsSpread:
    spread = SettingsSpread(start_wait_until=0)
    spread.tick((), 0)
    assert spread.is_start_wait_over
    return spread


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.integers(1, 9), min_size=1, max_size=12))
def test_the_largest_version_wins_in_any_order(versions: list[int]) -> None:
    spread = started_spread()
    served = 0
    for version in versions:
        spread.adopt(version, settings_value(), (), 1)
        assert spread.in_force.version >= served
        served = spread.in_force.version
        assert spread.version == served
    assert served == max(versions)


def test_a_started_node_waits_for_the_versions_of_its_peers() -> None:
    spread = SettingsSpread(start_wait_until=START_WAIT_S)
    assert spread.adopt(3, settings_value(), (), 0) == []
    asked = spread.handle_peer_version('peer', 5, 1)
    assert asked == [Send('peer', SettingsRequest(3))]
    assert spread.tick(('peer',), 1 + OTHER_ANSWERS_WAIT_S) == []
    assert spread.in_force.version == 0
    content = SettingsContent(5, pack_value(settings_value()))
    effects = spread.handle_content(content, (), 1 + OTHER_ANSWERS_WAIT_S)
    assert isinstance(effects[0], SettingsChanged)
    assert spread.in_force.version == 5


def test_the_start_wait_ends_if_no_peer_answers() -> None:
    spread = SettingsSpread(start_wait_until=START_WAIT_S)
    spread.adopt(3, settings_value(), (), 0)
    assert spread.next_at() == START_WAIT_S
    assert len(spread.tick((), START_WAIT_S)) == 1
    assert spread.in_force.version == 3


def test_an_unanswered_request_is_sent_to_another_peer() -> None:
    spread = started_spread()
    spread.handle_peer_version('first', 5, 1)
    spread.handle_peer_version('second', 5, 1)
    effects = spread.tick(('first', 'second'), spread.next_at())
    assert effects == [Send('second', SettingsRequest(0))]


def test_invalid_settings_are_refused_and_the_old_ones_stay() -> None:
    spread = started_spread()
    spread.adopt(3, settings_value(), (), 1)
    refused = spread.adopt(4, {'tree': 1}, (), 1)
    assert isinstance(refused[0], SettingsRefused)
    assert spread.in_force.version == 3
    assert spread.handle_peer_version('peer', 4, 1) == []


def test_a_node_that_read_invalid_settings_first_gets_those_before() -> None:
    # Guards against a restarted node that serves nobody while the platform
    # holds malformed settings.
    spread = started_spread()
    assert isinstance(spread.adopt(8, {'tree': 1}, (), 1)[0], SettingsRefused)
    asked = spread.handle_peer_version('peer', 7, 1)
    assert asked == [Send('peer', SettingsRequest(0))]
    content = SettingsContent(7, pack_value(settings_value()))
    spread.handle_content(content, (), 1)
    assert spread.in_force.version == 7
    assert spread.adopt(8, {'tree': 1}, (), 1) == []


def test_a_peer_is_sent_the_tree_without_its_history() -> None:
    spread = started_spread()
    changes = [{'id': f'change-{number}'} for number in range(64)]
    spread.adopt(3, settings_value() | {'changes': changes}, (), 1)
    sent = spread.handle_request('peer', 0, 1)[0].message
    other = started_spread()
    other.handle_content(sent, (), 1)
    assert other.in_force == spread.in_force
    assert 'changes' not in unpack_value(sent.content)


def test_an_invalid_tree_from_a_peer_is_refused_and_the_old_one_stays() -> None:
    spread = started_spread()
    spread.adopt(3, settings_value(), (), 1)
    bad = pack_value({'tree': {'cluster': 7, 'zoens': {}}})
    refused = spread.handle_content(SettingsContent(4, bad), (), 1)[0]
    assert isinstance(refused, SettingsRefused)
    assert [finding.path for finding in refused.findings] == [
        'cluster',
        'zoens',
    ]
    nested = zlib.compress(b'[' * 100_000)
    assert spread.handle_content(SettingsContent(5, nested), (), 1) == []
    assert spread.in_force.version == 3
    good = SettingsContent(6, pack_value(settings_value()))
    assert spread.handle_content(good, (), 1)
    assert spread.in_force.version == 6


def test_settings_of_a_later_era_win_at_a_lower_revision() -> None:
    # Guards against nodes that ignore each change after the store came back.
    spread = started_spread()
    spread.adopt(StoreTime(1, 57).rank, settings_value(edition=47), (), 1)
    later = StoreTime(2, 20).rank
    spread.adopt(later, settings_value(edition=48), (), 1)
    assert spread.in_force.version == later
    # What was read before the return comes late.
    assert not spread.adopt(
        StoreTime(1, 58).rank, settings_value(edition=47), (), 1
    )
    assert spread.in_force.version == later


def test_an_earlier_edition_in_a_later_era_does_not_come_into_force() -> None:
    spread = started_spread()
    held = StoreTime(1, 57).rank
    spread.adopt(held, settings_value(edition=47), (), 1)
    for revision, edition in ((17, 7), (18, 46)):
        copied = StoreTime(2, revision).rank
        content = pack_value(settings_value(edition=edition))
        assert spread.handle_peer_version('peer', copied, revision)
        spread.handle_content(SettingsContent(copied, content), (), revision)
        assert spread.in_force.version == held
        # It is not requested again.
        assert not spread.handle_peer_version('peer', copied, revision)
    written_again = StoreTime(2, 19).rank
    spread.adopt(written_again, settings_value(edition=47), (), 1)
    assert spread.in_force.version == written_again
    assert spread.in_force.edition == 47


def test_a_version_given_out_again_is_not_refused() -> None:
    # Guards against valid settings at a revision at which invalid ones were.
    spread = started_spread()
    spread.adopt(StoreTime(1, 20).rank, {'tree': 1}, (), 1)
    again = StoreTime(2, 20).rank
    spread.adopt(again, settings_value(), (), 1)
    assert spread.in_force.version == again


def test_damaged_or_oversized_content_is_ignored() -> None:
    spread = started_spread()
    packed = pack_value(settings_value())
    endless = pack_value('a' * (MAX_CONTENT_BYTES + 1))
    for content in (b'', b'junk', packed[:-1], endless):
        assert spread.handle_content(SettingsContent(4, content), (), 1) == []
    assert unpack_value(packed) == settings_value()
