"""Events that the fleet handles, and effects that it returns."""

from typing import Any

import attrs

from daisyline.state.failures import Finding
from daisyline.state.settings import Settings


@attrs.frozen
class GossipMessageReceived:
    """A gossip message has arrived from another node.

    Attributes:
        node: The name that the other node sent when the stream was opened.
        message: The message.
    """

    node: str
    message: Any


@attrs.frozen
class StreamLost:
    """The stream to a node has closed or failed."""

    node: str


@attrs.frozen
class NodeUnreachable:
    """A call couldn't be delivered to a node."""

    node: str


@attrs.frozen
class FactsReceived:
    """Another node has sent all facts that it holds.

    Attributes:
        peer_started_ms: When its process started, in Unix milliseconds.
    """

    peer_started_ms: int


@attrs.frozen
class SendToAddress:
    """Send a message to an address, whose node may be unknown.

    Attributes:
        host: The IP address.
        port: The TCP port on which the node accepts peers.
        message: The message.
    """

    host: str
    port: int
    message: Any


@attrs.frozen
class SettingsChanged:
    """Newer settings or orders have come into force on this node."""

    settings: Settings


@attrs.frozen
class SettingsRefused:
    """Newer settings are invalid; those in force stay.

    Attributes:
        version: The version of the invalid settings.
        findings: The errors in them.
    """

    version: int
    findings: tuple[Finding, ...]


@attrs.frozen
class StoreReturned:
    """The platform's store has come back from an older copy.

    Attributes:
        era: The era that it has begun.
        before: The era that was known before.
    """

    era: int
    before: int


@attrs.frozen
class PlatformReadabilityChanged:
    """A kind of platform objects became readable or unreadable for this node.

    Attributes:
        kind: The kind.
        readable: Whether the last read succeeded.
        status: The status of the last answer; 0 if there was none.
    """

    kind: str
    readable: bool
    status: int


@attrs.frozen
class ReaderRoleChanged:
    """This node began or ceased to read the platform for other nodes.

    Attributes:
        state: `chosen` or `replaced`, or `stand-in` if no reader has confirmed
            the settings and a read of this node has succeeded.
        age_s: The time since the settings were last confirmed, in seconds.
        members: The number of live members.
        readers: The names of the readers that this node selects.
        unreadable: The number of members that can't read the platform.
    """

    state: str
    age_s: float
    members: int
    readers: tuple[str, ...] = ()
    unreadable: int = 0


@attrs.frozen
class MembersChanged:
    """Members have been added, changed or removed.

    Attributes:
        changed: The names of added or changed members.
        removed: The names of removed members.
    """

    changed: tuple[str, ...]
    removed: tuple[str, ...]
