"""The settings and codecs by which one front end differs from another."""

from collections.abc import Callable, Sequence
from typing import Protocol

import attrs

from daisyline.coordination.calls.messages import Headers
from daisyline.coordination.calls.registration import Announcement
from daisyline.coordination.duties.duty_config import DutyConfig
from daisyline.coordination.duties.duty_events import ReportUsage, UsageReply
from daisyline.coordination.effects import PlatformReply
from daisyline.coordination.node_core import TARGET_LEASE_S
from daisyline.coordination.settings.platform_reading import PlatformReadConfig
from daisyline.protocol import announcements
from daisyline.protocol import platform as object_api
from daisyline.protocol.dialect import Dialect
from daisyline.protocol.http_messages import Request
from daisyline.protocol.platform import PlatformCall
from daisyline.state.failures import Finding


@attrs.frozen
class LeaveNotice:
    """A notice that an instance leaves, sent without an announcement.

    Attributes:
        instance: The id of the instance.
        started_ms: When the instance started, in Unix milliseconds; 0 if the
            notice does not state it.
    """

    instance: str
    started_ms: int = 0


Notice = Announcement | LeaveNotice | Sequence[Finding]
# The modification time in nanoseconds, the size and the inode of a file.
FileStamp = tuple[int, int, int]


class PlatformCodec(Protocol):
    """Encodes calls to the platform as HTTP requests; decodes the answers."""

    def encode_request(self, effect: PlatformCall, host: str) -> Request:
        """Return the HTTP request for an effect."""

    def decode_reply(
        self,
        effect: PlatformCall,
        status: int,
        body: bytes,
        headers: Headers = (),
    ) -> PlatformReply:
        """Return the event for an answer; a status of 0 means no answer."""


class DutyCodec(Protocol):
    """Encodes the calls of single-holder duties; decodes the answers."""

    def encode_request(self, effect: ReportUsage, host: str) -> Request:
        """Return the HTTP request for a report."""

    def decode_reply(
        self, effect: ReportUsage, status: int, retry_after: bytes
    ) -> UsageReply:
        """Return the event for an answer; a status of 0 means no answer."""


@attrs.frozen
class ReloadResult:
    """The result of reading a node's own settings again.

    Attributes:
        front_end: The front end to use from now on; None for no change.
        platform: The IP address and the TCP port of the platform.
        changed: The names of the settings that changed.
        findings: Settings that are invalid or take effect only after a
            restart.
    """

    front_end: 'FrontEnd | None' = None
    platform: tuple[str, int] = ('', 0)
    changed: tuple[str, ...] = ()
    findings: tuple[Finding, ...] = ()


def _reload_nothing() -> ReloadResult:
    """Change nothing: flags and environment variables are read only once."""
    finding = Finding('flags', 'are read only when the process starts')
    return ReloadResult(findings=(finding,))


@attrs.frozen
class FrontEnd:
    """How a node communicates with callers, its target and the platform.

    Attributes:
        dialect: The names of headers and the rules that go with them.
        platform_codec: Encodes calls to the platform and decodes answers.
        read_config: Which objects of the platform are read.
        read_notice: Parses a target's notice; None if a request is not one.
        acknowledge: Returns the body of the answer to a notice, given the
            lease in seconds.
        lease_s: How long an announcement is valid, in seconds.
        ready_path: The path at which the platform checks whether the node
            accepts callers.
        stop_notice_s: How long a stopping node goes on to accept calls, in
            seconds, until callers have learned that it stops.
        logs_decisions: Whether decisions are written to standard output.
        stop_timeout_s: How long a stopping node waits at most for calls in
            progress, in seconds.
        memory_mb: The memory of the node's machine, in megabytes; None if it
            is not known.
        settings_path: The file that `reload` reads; empty if there is none.
        settings_stamp: The state of that file when it was read first.
        reload: Reads the node's own settings again.
        duty_config: The settings of the usage report; None if usage is not
            reported.
        duty_address: The IP address and the TCP port for reports.
        duty_codec: Encodes reports and decodes the answers.
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
    memory_mb: float | None = None
    settings_path: str = ''
    settings_stamp: FileStamp | None = None
    reload: Callable[[], ReloadResult] = _reload_nothing
    duty_config: DutyConfig | None = None
    duty_address: tuple[str, int] | None = None
    duty_codec: DutyCodec | None = None
