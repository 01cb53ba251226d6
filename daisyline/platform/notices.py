"""Parses the heartbeats and leave notices of targets."""

import json
from typing import Any
from urllib import parse as urls

import attrs

from daisyline.coordination.calls.registration import Announcement
from daisyline.platform import wire
from daisyline.platform.boot import Address, Boot
from daisyline.protocol.announcements import is_short_text
from daisyline.protocol.front_end import LeaveNotice, Notice
from daisyline.protocol.http_messages import Request
from daisyline.state.failures import Finding
from daisyline.state.targets import Phase, Target

# Compared by equality: a state may be a value that has no hash.
_STATES = ('ready', 'draining')
_MAX_SLOTS = 10_000
_MAX_COLD_S = 3600
# Larger integers are not exact in every JSON parser.
_MAX_SEQUENCE = 9_007_199_254_740_991


def acknowledge(_lease_s: float) -> bytes:
    """Return the body of the answer to a notice, which states no lease."""
    return b'{}'


@attrs.frozen
class NoticeReader:
    """Parses the notices of the target beside a node.

    Attributes:
        service: The service of this target.
        target: The target's address.
    """

    service: str
    target: Address

    @classmethod
    def from_boot(cls, boot: Boot) -> 'NoticeReader':
        """Return a reader for the target in a node's settings file."""
        return cls(boot.service, boot.target)

    def read(self, request: Request) -> Notice | None:
        """Return the notice in a request; None if the request is not a notice.

        For an invalid notice it returns the list of its errors.
        """
        path, _, query = request.path.decode('latin-1').partition('?')
        if path != wire.NOTICE_PATH:
            return None
        query_fields = dict(urls.parse_qsl(query))
        instance = query_fields.get('of', '')
        if not is_short_text(instance):
            return [Finding('of', 'must be the id of an instance')]
        if query_fields.get('call') == wire.LEAVE_CALL:
            # The body of a leave notice may be empty.
            fields = _json_object(request.body) or {}
            return LeaveNotice(instance, _started_ms(fields))
        if query_fields.get('call') == wire.HEARTBEAT_CALL:
            return self._heartbeat(instance, request.body)
        return [Finding('call', 'is not a known call')]

    def _heartbeat(self, instance: str, body: bytes) -> Notice:
        fields = _json_object(body)
        if fields is None:
            return [Finding('body', 'is not a JSON object')]
        findings = [*_field_findings(fields), *self._mismatches(fields)]
        if findings:
            return findings
        cold_s = float(fields['coldRemainingS'])
        host, port = self.target
        target = Target(
            service=fields['service'],
            version=fields['version'],
            instance=instance,
            host=host,
            port=port,
            phase=_phase(fields['state'], cold_s),
            started_ms=_started_ms(fields),
            slots=fields['slots'],
        )
        return Announcement(target, fields['sequence'], cold_s)

    def _mismatches(self, fields: dict[str, Any]) -> list[Finding]:
        """Return an error for each field that belongs to another target."""
        host, port = self.target
        findings = []
        if fields.get('service') != self.service:
            findings.append(
                Finding('service', f'the target here belongs to {self.service}')
            )
        if fields.get('address') != f'{host}:{port}':
            findings.append(
                Finding('address', 'the target here has another address')
            )
        return findings


def _field_findings(fields: dict[str, Any]) -> list[Finding]:
    texts = [
        Finding(name, 'must be a short text')
        for name in ('service', 'version', 'zone')
        if not is_short_text(fields.get(name))
    ]
    numbers = [
        Finding(name, f'must be a number from {least} to {most}')
        for name, types, least, most in (
            ('slots', int, 1, _MAX_SLOTS),
            ('sequence', int, 0, _MAX_SEQUENCE),
            ('coldRemainingS', (int, float), 0, _MAX_COLD_S),
        )
        if not _is_number(fields.get(name), types, least, most)
    ]
    if fields.get('state') not in _STATES:
        numbers.append(Finding('state', 'is not a known state'))
    return texts + numbers


def _is_number(number: Any, types: Any, least: int, most: int) -> bool:
    if isinstance(number, bool) or not isinstance(number, types):
        return False
    return bool(least <= number <= most)


def _phase(state: str, cold_s: float) -> Phase:
    if state == 'draining':
        return Phase.LEAVING
    return Phase.COLD if cold_s > 0 else Phase.READY


def _started_ms(fields: dict[str, Any]) -> int:
    """Return when the target started, in Unix milliseconds; 0 if unknown.

    The platform's name of this field is `born`. Messages between nodes can't
    carry integers of any size.
    """
    started_ms = fields.get('born', 0)
    is_readable = _is_number(started_ms, int, 0, _MAX_SEQUENCE)
    return started_ms if is_readable else 0


def _json_object(body: bytes) -> dict[str, Any] | None:
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return fields if isinstance(fields, dict) else None
