"""Parses the announcement that a target sends to its node."""

import ipaddress
import json
from typing import Any

from daisyline.coordination.calls.registration import Announcement
from daisyline.protocol.http_messages import Request
from daisyline.state.failures import Finding
from daisyline.state.targets import Phase, Target

_MAX_PORT = 65_535
_MAX_TEXT_CHARS = 128
_MS_PER_S = 1000


def read_notice(request: Request) -> Announcement | list[Finding] | None:
    """Return a target's announcement; None if the request is not one.

    An announcement with errors gives the list of all its errors.
    """
    if request.path != b'/announce' or request.method != b'POST':
        return None
    target = read_announcement(request.body)
    return Announcement(target) if isinstance(target, Target) else target


def acknowledge(lease_s: float) -> bytes:
    """Return the body of the answer to an announcement.

    Args:
        lease_s: How long the announcement is valid, in seconds.
    """
    return json.dumps({'lease_ms': int(lease_s * _MS_PER_S)}).encode()


def read_announcement(body: bytes) -> Target | list[Finding]:
    """Return the announced target, or every error in the announcement."""
    try:
        announced = json.loads(body)
    except (ValueError, RecursionError):
        return [Finding('body', 'is not JSON')]
    if not isinstance(announced, dict):
        return [Finding('body', 'is not a JSON object')]
    findings = [
        Finding(name, problem)
        for name, problem in _field_problems(announced)
        if problem
    ]
    if findings:
        return findings
    names = ('service', 'version', 'instance', 'host', 'port', 'phase')
    return Target(
        **{name: announced[name] for name in names if name in announced}
    )


def _field_problems(announced: dict[str, Any]) -> list[tuple[str, str]]:
    texts = [
        (
            name,
            ''
            if is_short_text(announced.get(name))
            else 'must be a short text',
        )
        for name in ('service', 'version', 'instance')
    ]
    phases = tuple(Phase)
    phase = announced.get('phase', Phase.READY)
    return [
        *texts,
        ('host', _host_problem(announced.get('host'))),
        ('port', _port_problem(announced.get('port'))),
        ('phase', '' if phase in phases else f'must be one of {phases}'),
    ]


def is_short_text(candidate: Any) -> bool:
    """Return whether a decoded value is a short, printable text.

    Only such texts are written to logs and sent to other nodes.
    """
    if not isinstance(candidate, str):
        return False
    return 0 < len(candidate) <= _MAX_TEXT_CHARS and candidate.isprintable()


def _host_problem(host: Any) -> str:
    try:
        ipaddress.IPv4Address(str(host))
    except ValueError:
        return 'must be an IPv4 address as a string'
    return ''


def _port_problem(port: Any) -> str:
    is_number = isinstance(port, int) and not isinstance(port, bool)
    return '' if is_number and 0 < port <= _MAX_PORT else 'must be a TCP port'
