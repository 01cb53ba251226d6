"""Encodes the platform's calls that one node at a time makes."""

import json
import math

import attrs

from daisyline.coordination.duties.duty_config import DutyConfig
from daisyline.coordination.duties.duty_events import ReportUsage, UsageReply
from daisyline.platform import wire
from daisyline.platform.boot import Boot
from daisyline.protocol.http_messages import Request

# A longer time is a mistake: the report would be overdue.
_MAX_RETRY_AFTER_S = 60.0


def duty_config(boot: Boot) -> DutyConfig | None:
    """Return the settings of the usage report; None if it is not enabled."""
    if boot.duty_api is None:
        return None
    if boot.usage_window_s is None or boot.usage_late_s is None:
        return None
    return DutyConfig(
        window_s=boot.usage_window_s,
        late_s=boot.usage_late_s,
        lease_s=boot.duty_lease_s,
        is_fenced=boot.duty_fenced,
        calls_per_s=boot.duty_calls_per_s,
    )


@attrs.frozen
class DutyCodec:
    """Encodes usage reports and decodes the answers."""

    def encode_request(self, effect: ReportUsage, host: str) -> Request:
        """Return the HTTP request for a report."""
        body = {'windowNum': effect.window, 'counts': dict(effect.counts)}
        headers = (
            (b'Host', host.encode()),
            (wire.HOLDER_HEADER, effect.holder.encode()),
            (wire.FENCE_HEADER, str(effect.token).encode()),
            (b'Content-Type', b'application/json'),
        )
        octets = json.dumps(body, separators=(',', ':')).encode()
        return Request(b'POST', wire.USAGE_PATH, headers, octets)

    def decode_reply(
        self, effect: ReportUsage, status: int, retry_after: bytes
    ) -> UsageReply:
        """Return the event for an answer; a status of 0 means no answer."""
        try:
            retry_after_s = float(retry_after or 0)
        except ValueError:
            retry_after_s = 0
        if not math.isfinite(retry_after_s):
            retry_after_s = 0
        bounded_s = min(max(retry_after_s, 0), _MAX_RETRY_AFTER_S)
        return UsageReply(effect.call, status, bounded_s)
