"""What differs between the ways in which daisyline meets its surroundings."""

from collections.abc import Callable, Sequence
from typing import Protocol

import attrs

from daisyline.coordination.effects import PlatformReply
from daisyline.coordination.node_core import TARGET_LEASE_S
from daisyline.coordination.platform_reading import PlatformReadConfig
from daisyline.coordination.registration import Announcement
from daisyline.protocol import announcements
from daisyline.protocol import platform as object_api
from daisyline.protocol.dialect import Dialect
from daisyline.protocol.http_messages import Request
from daisyline.protocol.platform import PlatformCall
from daisyline.state.failures import Finding


@attrs.frozen
class LeaveNotice:
    """An instance says that it leaves, without its announcement.

    Attributes:
        instance: The instance.
        started_ms: When it started, in Unix milliseconds; 0 if it doesn't
            say.
    """

    instance: str
    started_ms: int = 0


Notice = Announcement | LeaveNotice | Sequence[Finding]


class PlatformCodec(Protocol):
    """How calls on the platform's store are put into HTTP."""

    def encode_request(self, effect: PlatformCall, host: str) -> Request:
        """Return the request for an effect."""

    def decode_reply(
        self, effect: PlatformCall, status: int, body: bytes
    ) -> PlatformReply:
        """Return the event for an answer; status 0 means that none came."""


@attrs.frozen
class ReloadResult:
    """What came of reading a node's own settings again.

    Attributes:
        front: The front end to use from now on; None to go on as before.
        platform: The IP number and the TCP port of the platform from now on.
        changed: The settings that differ.
        findings: What can't be read, or isn't in force before a restart.
    """

    front_end: 'FrontEnd | None' = None
    platform: tuple[str, int] = ('', 0)
    changed: tuple[str, ...] = ()
    findings: tuple[Finding, ...] = ()


def _flags_stay() -> ReloadResult:
    """Read nothing: flags and environment hold until a process ends."""
    finding = Finding('flags', 'they are read at the start only')
    return ReloadResult(findings=(finding,))


@attrs.frozen
class FrontEnd:
    """How a node speaks with callers, with its target and with the platform.

    Attributes:
        dialect: The names of headers.
        store: The codec of the platform's store.
        read_config: What is read of the store.
        read_notice: Reads a target's notice; None if a request is no notice.
        acknowledge: Makes the body of the answer to a notice; it is given
            the lease in seconds.
        lease_s: How long an announcement holds, in seconds.
        ready_path: Where the platform asks if the node takes callers.
        notice_s: How long callers may take to hear that a node stops, during
            which it goes on to serve them, in seconds.
        logs_decisions: Whether decisions are written to standard output.
        stop_s: The longest that a stop waits for calls in progress, in
            seconds.
        settings_path: The file that `reload` reads; empty if there is none.
        reload: Reads the node's own settings again.
    """

    dialect: Dialect = attrs.field(factory=Dialect)
    platform_codec: PlatformCodec = object_api
    read_config: PlatformReadConfig = attrs.field(factory=PlatformReadConfig)
    read_notice: Callable[[Request], Notice | None] = announcements.read_notice
    acknowledge: Callable[[float], bytes] = announcements.acknowledge
    lease_s: float = TARGET_LEASE_S
    ready_path: str = '/ready'
    stop_notice_s: float = 0
    stop_timeout_s: float = 30.0
    logs_decisions: bool = False
    settings_path: str = ''
    reload: Callable[[], ReloadResult] = _flags_stay
