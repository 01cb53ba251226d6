"""The announcement by which a target tells its node what it is."""

import ipaddress
import json
from typing import Any

import attrs

from daisyline.state.failures import Finding
from daisyline.state.targets import Phase, Target

_MAX_PORT = 65_535
_MAX_TEXT = 128


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
    names = [field.name for field in attrs.fields(Target)]
    return Target(**{name: said[name] for name in names if name in said})


def _problems(said: dict[str, Any]) -> list[tuple[str, str]]:
    texts = [
        (name, '' if _is_text(said.get(name)) else 'a short text is needed')
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


def _is_text(said: Any) -> bool:
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
