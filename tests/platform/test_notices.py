"""Heartbeats and leave notices are parsed, or refused with all their errors."""

import json
import types
from typing import Any

import attrs

from daisyline.coordination.calls.registration import Announcement
from daisyline.platform.boot import Boot
from daisyline.platform.notices import NoticeReader
from daisyline.protocol.front_end import LeaveNotice
from daisyline.protocol.http_messages import Request
from daisyline.state.targets import Phase
from tests.platform.fixtures import HOST
from tests.support import function_tests

load_tests = function_tests(__name__)

HEARTBEAT = types.MappingProxyType(
    {
        'service': 'shop',
        'address': f'{HOST}:8145',
        'zone': 'ghent-a',
        'version': 'v1',
        'slots': 9,
        'state': 'ready',
        'coldRemainingS': 0,
        'sequence': 4,
        'born': 1767802842429,
    }
)


def _read(boot: Boot, call: str, content: Any, instance: str = 'i-7') -> Any:
    path = f'/-/rpc?call=instances.{call}&of={instance}'.encode()
    body = content if isinstance(content, bytes) else _json(content)
    return NoticeReader.from_boot(boot).read(Request(b'POST', path, (), body))


def _json(content: Any) -> bytes:
    plain = dict(content) if content else content
    return json.dumps(plain).encode()


def test_a_heartbeat_announces_the_target(boot: Boot) -> None:
    announcement = _read(
        boot, 'heartbeat', {**HEARTBEAT, 'coldRemainingS': 2.5}
    )
    assert isinstance(announcement, Announcement)
    assert announcement.target.instance == 'i-7'
    assert announcement.target.phase == Phase.COLD
    assert announcement.target.started_ms == HEARTBEAT['born']
    assert announcement.target.slots == 9
    assert (announcement.sequence, announcement.cold_s) == (4, 2.5)
    leaving = _read(boot, 'heartbeat', {**HEARTBEAT, 'state': 'draining'})
    assert leaving.target.phase == Phase.LEAVING


def test_a_heartbeat_of_another_target_is_refused(boot: Boot) -> None:
    for name, content in (
        ('service', 'docs'),
        ('address', '10.9.9.9:8145'),
        ('state', 'resting'),
        ('slots', '9'),
        ('slots', True),
        ('sequence', -1),
        ('coldRemainingS', None),
        ('version', ''),
    ):
        findings = _read(boot, 'heartbeat', {**HEARTBEAT, name: content})
        assert [finding.path for finding in findings] == [name]


def test_malformed_notices_are_refused(boot: Boot) -> None:
    assert _read(boot, 'heartbeat', b'{"service"')[0].path == 'body'
    assert _read(boot, 'heartbeat', [])[0].path == 'body'
    assert _read(boot, 'heartbeat', HEARTBEAT, instance='')[0].path == 'of'
    assert _read(boot, 'renew', HEARTBEAT)[0].path == 'call'
    other = Request(b'GET', b'/pages/', (), b'')
    assert NoticeReader.from_boot(boot).read(other) is None


def test_a_leave_notice_needs_no_body(boot: Boot) -> None:
    assert _read(boot, 'leave', b'') == LeaveNotice('i-7', 0)
    assert _read(boot, 'leave', {'born': 5}) == LeaveNotice('i-7', 5)


def test_a_later_heartbeat_announces_the_same_target(boot: Boot) -> None:
    first = _read(boot, 'heartbeat', HEARTBEAT)
    second = _read(boot, 'heartbeat', {**HEARTBEAT, 'sequence': 5})
    assert first.target == second.target
    assert attrs.evolve(first, sequence=5) == second


def test_a_start_that_is_no_sensible_time_is_unknown(boot: Boot) -> None:
    for born in (10**30, -1, True, 1.5, '4', None):
        announced = _read(boot, 'heartbeat', {**HEARTBEAT, 'born': born})
        assert announced.target.started_ms == 0
        leaving = _read(boot, 'leave', {'born': born})
        assert leaving.started_ms == 0


def test_a_heartbeat_with_any_json_in_a_field_is_accepted_or_refused(
    boot: Boot,
) -> None:
    # Guards against a check-in that is left unanswered, and whose connection
    # is left open, as a field that should be a text is a list.
    for name in HEARTBEAT:
        for odd in ([], {}, [1], {'a': 1}, None, True, -1, 0.5, 'text'):
            notice = _read(boot, 'heartbeat', {**HEARTBEAT, name: odd})
            assert isinstance(notice, (Announcement, list))
