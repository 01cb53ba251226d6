"""Heartbeats and farewells of targets."""

import json
from typing import Any
from urllib import parse as urls

import attrs

from daisyline.coordination.registration import Announcement
from daisyline.platform import wire
from daisyline.platform.boot import Address, Boot
from daisyline.protocol.announcements import is_short_text
from daisyline.protocol.front_end import LeaveNotice, Notice
from daisyline.protocol.http_messages import Request
from daisyline.state.failures import Finding
from daisyline.state.targets import Phase, Target

_STATES = frozenset(('ready', 'draining'))
_MAX_SLOTS = 10_000
_MAX_COLD_S = 3600
# Whole numbers up to here are exact in every reader of JSON.
_MAX_SEQUENCE = 9_007_199_254_740_991


def acknowledge(_lease_s: float) -> bytes:
    """Return the body that acknowledges a notice."""
    return b'{}'


@attrs.frozen
class NoticeReader:
    """Reads the notices of the target beside a node.

    Attributes:
        service: The service that this target belongs to.
        target: The target's address.
    """

    service: str
    target: Address

    @classmethod
    def from_boot(cls, boot: Boot) -> 'NoticeReader':
        """Build the reader for the target that the node was told of."""
        return cls(boot.service, boot.target)

    def read(self, request: Request) -> Notice | None:
        """Return what a request says; None if it is no notice at all."""
        path, _, query = request.path.decode('latin-1').partition('?')
        if path != wire.NOTICE_PATH:
            return None
        words = dict(urls.parse_qsl(query))
        instance = words.get('of', '')
        if not is_short_text(instance):
            return [Finding('of', 'the id of an instance is needed')]
        if words.get('call') == wire.LEAVE_CALL:
            # The body may be empty.
            said = _object(request.body) or {}
            return LeaveNotice(instance, _started_ms(said))
        if words.get('call') == wire.HEARTBEAT_CALL:
            return self._heartbeat(instance, request.body)
        return [Finding('call', 'it is none that is known here')]

    def _heartbeat(self, instance: str, body: bytes) -> Notice:
        said = _object(body)
        if said is None:
            return [Finding('body', 'it is not a JSON object')]
        findings = [*_findings(said), *self._strangers(said)]
        if findings:
            return findings
        cold_s = float(said['coldRemainingS'])
        host, port = self.target
        target = Target(
            service=said['service'],
            version=said['version'],
            instance=instance,
            host=host,
            port=port,
            phase=_phase(said['state'], cold_s),
            started_ms=_started_ms(said),
            slots=said['slots'],
        )
        return Announcement(target, said['sequence'], cold_s)

    def _strangers(self, said: dict[str, Any]) -> list[Finding]:
        """Find what shows that another target is spoken of."""
        host, port = self.target
        findings = []
        if said.get('service') != self.service:
            findings.append(Finding('service', f'{self.service} stands here'))
        if said.get('address') != f'{host}:{port}':
            findings.append(Finding('address', 'no target is there'))
        return findings


def _findings(said: dict[str, Any]) -> list[Finding]:
    texts = [
        Finding(name, 'a short text is needed')
        for name in ('service', 'version', 'zone')
        if not is_short_text(said.get(name))
    ]
    numbers = [
        Finding(name, f'a number from {least} to {most} is needed')
        for name, kinds, least, most in (
            ('slots', int, 1, _MAX_SLOTS),
            ('sequence', int, 0, _MAX_SEQUENCE),
            ('coldRemainingS', (int, float), 0, _MAX_COLD_S),
        )
        if not _is_number(said.get(name), kinds, least, most)
    ]
    if said.get('state') not in _STATES:
        numbers.append(Finding('state', 'it is none that is known'))
    return texts + numbers


def _is_number(said: Any, kinds: Any, least: int, most: int) -> bool:
    if isinstance(said, bool) or not isinstance(said, kinds):
        return False
    return bool(least <= said <= most)


def _phase(state: str, cold_s: float) -> Phase:
    if state == 'draining':
        return Phase.LEAVING
    return Phase.COLD if cold_s > 0 else Phase.READY


def _started_ms(said: dict[str, Any]) -> int:
    """Return when the target started; the platform calls it `born`."""
    born = said.get('born', 0)
    return born if isinstance(born, int) and not isinstance(born, bool) else 0


def _object(body: bytes) -> dict[str, Any] | None:
    try:
        said = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return said if isinstance(said, dict) else None
