"""The announcement by which a target tells its node what it is."""

import ipaddress
import json
from typing import Any

from daisyline.coordination.registration import Announcement
from daisyline.protocol.http_messages import Request
from daisyline.state.failures import Finding
from daisyline.state.targets import Phase, Target

_MAX_PORT = 65_535
_MAX_TEXT = 128
_MS_PER_S = 1000


def read_notice(request: Request) -> Announcement | list[Finding] | None:
    """Return what a target announces; None if the request is another."""
    if request.path != b'/announce' or request.method != b'POST':
        return None
    target = read_announcement(request.body)
    return Announcement(target) if isinstance(target, Target) else target


def acknowledge(lease_s: float) -> bytes:
    """Return the body of the answer to an announcement."""
    return json.dumps({'lease_ms': int(lease_s * _MS_PER_S)}).encode()


def read_announcement(body: bytes) -> Target | list[Finding]:
    """Return the target that announces itself, or every mistake in it."""
    try:
        said = json.loads(body)
    except (ValueError, RecursionError):
        return [Finding('body', 'it is not JSON')]
    if not isinstance(said, dict):
        return [Finding('body', 'it is not a JSON object')]
    findings = [
        Finding(name, problem) for name, problem in _problems(said) if problem
    ]
    if findings:
        return findings
    names = ('service', 'version', 'instance', 'host', 'port', 'phase')
    return Target(**{name: said[name] for name in names if name in said})


def _problems(said: dict[str, Any]) -> list[tuple[str, str]]:
    texts = [
        (
            name,
            '' if is_short_text(said.get(name)) else 'a short text is needed',
        )
        for name in ('service', 'version', 'instance')
    ]
    phases = tuple(Phase)
    phase = said.get('phase', Phase.READY)
    return [
        *texts,
        ('host', _host_problem(said.get('host'))),
        ('port', _port_problem(said.get('port'))),
        ('phase', '' if phase in phases else f'it is none of {phases}'),
    ]


def is_short_text(said: Any) -> bool:
    """Return whether it is short, and fit for logs and for other nodes."""
    if not isinstance(said, str):
        return False
    return 0 < len(said) <= _MAX_TEXT and said.isprintable()


def _host_problem(said: Any) -> str:
    try:
        ipaddress.IPv4Address(str(said))
    except ValueError:
        return 'an IPv4 number as text is needed'
    return ''


def _port_problem(said: Any) -> str:
    is_number = isinstance(said, int) and not isinstance(said, bool)
    return '' if is_number and 0 < said <= _MAX_PORT else 'a TCP port is needed'
