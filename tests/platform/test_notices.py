"""Heartbeats and farewells are read, or refused with every mistake named."""

import json
import types
from typing import Any

import attrs

from daisyline.coordination.registration import Announcement
from daisyline.platform.boot import Boot
from daisyline.platform.notices import NoticeReader
from daisyline.protocol.front_end import LeaveNotice
from daisyline.protocol.http_messages import Request
from daisyline.state.targets import Phase
from tests.platform.fixtures import HOST
from tests.support import function_tests

load_tests = function_tests(__name__)

BEAT = types.MappingProxyType(
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


def _read(boot: Boot, call: str, said: Any, of: str = 'i-7') -> Any:
    path = f'/-/rpc?call=instances.{call}&of={of}'.encode()
    body = said if isinstance(said, bytes) else _json(said)
    return NoticeReader.from_boot(boot).read(Request(b'POST', path, (), body))


def _json(said: Any) -> bytes:
    plain = dict(said) if said else said
    return json.dumps(plain).encode()


def test_a_heartbeat_announces_the_target(boot: Boot) -> None:
    said = _read(boot, 'heartbeat', {**BEAT, 'coldRemainingS': 2.5})
    assert isinstance(said, Announcement)
    assert said.target.instance == 'i-7'
    assert said.target.phase == Phase.COLD
    assert said.target.started_ms == BEAT['born']
    assert said.target.slots == 9
    assert (said.sequence, said.cold_s) == (4, 2.5)
    leaving = _read(boot, 'heartbeat', {**BEAT, 'state': 'draining'})
    assert leaving.target.phase == Phase.LEAVING


def test_a_heartbeat_of_another_target_is_refused(boot: Boot) -> None:
    for name, said in (
        ('service', 'docs'),
        ('address', '10.9.9.9:8145'),
        ('state', 'resting'),
        ('slots', '9'),
        ('slots', True),
        ('sequence', -1),
        ('coldRemainingS', None),
        ('version', ''),
    ):
        findings = _read(boot, 'heartbeat', {**BEAT, name: said})
        assert [finding.path for finding in findings] == [name]


def test_what_cant_be_read_is_refused(boot: Boot) -> None:
    assert _read(boot, 'heartbeat', b'{"service"')[0].path == 'body'
    assert _read(boot, 'heartbeat', [])[0].path == 'body'
    assert _read(boot, 'heartbeat', BEAT, of='')[0].path == 'of'
    assert _read(boot, 'renew', BEAT)[0].path == 'call'
    other = Request(b'GET', b'/pages/', (), b'')
    assert NoticeReader.from_boot(boot).read(other) is None


def test_a_farewell_needs_no_body(boot: Boot) -> None:
    assert _read(boot, 'leave', b'') == LeaveNotice('i-7', 0)
    assert _read(boot, 'leave', {'born': 5}) == LeaveNotice('i-7', 5)


def test_a_renewal_is_the_same_target(boot: Boot) -> None:
    first = _read(boot, 'heartbeat', BEAT)
    second = _read(boot, 'heartbeat', {**BEAT, 'sequence': 5})
    assert first.target == second.target
    assert attrs.evolve(first, sequence=5) == second
