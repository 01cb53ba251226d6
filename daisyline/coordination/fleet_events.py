"""Events that the fleet's decisions take, and effects that they add."""

from typing import Any

import attrs

from daisyline.state.failures import Finding
from daisyline.state.settings import Settings


@attrs.frozen
class GossipMessageReceived:
    """A message of another node has arrived.

    Attributes:
        node: The name that the other node gave when the stream opened.
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
    """A call could not be sent to a node."""

    node: str


@attrs.frozen
class SendToAddress:
    """Send a message to an address whose node may be unknown.

    Attributes:
        host: The IP number.
        port: The TCP port of the node's peers' port.
        message: The message.
    """

    host: str
    port: int
    message: Any


@attrs.frozen
class SettingsChanged:
    """Newer settings are in force on this node."""

    settings: Settings


@attrs.frozen
class SettingsRefused:
    """The platform holds settings that can't be used; the old ones stay.

    Attributes:
        version: The version of the settings that were refused.
        findings: What is wrong with them.
    """

    version: int
    findings: tuple[Finding, ...]


@attrs.frozen
class PlatformReadabilityChanged:
    """A kind of the platform's objects is readable for this node, or not.

    Attributes:
        kind: The kind.
        readable: Whether the last read was answered.
        status: The status of that answer; 0 if none came.
    """

    kind: str
    readable: bool
    status: int


@attrs.frozen
class MembersChanged:
    """Members were added, changed or removed.

    Attributes:
        changed: The names of the members added or changed.
        removed: The names of the members removed.
    """

    changed: tuple[str, ...]
    removed: tuple[str, ...]
