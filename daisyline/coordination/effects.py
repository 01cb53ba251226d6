"""What decisions ask the transport layer to do."""

from typing import Any

import attrs


@attrs.frozen
class Send:
    """Send a message to another node.

    Attributes:
        node: The name of the node.
        message: One of the messages that the frame codec knows.
    """

    node: str
    message: Any


@attrs.frozen
class PlatformRead:
    """Read one object of the platform; a `PlatformReply` brings the answer."""

    token: str
    kind: str
    name: str


@attrs.frozen
class PlatformList:
    """Read all objects of one kind; a `PlatformReply` brings the answer."""

    token: str
    kind: str


@attrs.frozen
class PlatformWatch:
    """Wait for a change of a kind; a `PlatformReply` brings the answer.

    Attributes:
        token: Comes back in the reply.
        kind: The kind that is watched.
        since: The store's revision after which changes count.
        wait_ms: How long the platform may wait, in milliseconds.
    """

    token: str
    kind: str
    since: int
    wait_ms: int


@attrs.frozen
class PlatformWrite:
    """Write one object if its version is still the one named.

    Attributes:
        token: Comes back in the reply.
        kind: The object's kind.
        name: The object's name.
        version: The version it must have; 0 means it must not exist.
        content: The JSON value.
    """

    token: str
    kind: str
    name: str
    version: int
    content: Any


@attrs.frozen
class PlatformReply:
    """The platform's answer, an event for the decision that asked.

    Attributes:
        token: The token of the effect that asked.
        status: The HTTP status; 0 if no answer came, the outcome is unknown.
        version: The object's version, or the store's revision for a list.
        content: The JSON value, or a list of `(name, version, value)`.
    """

    token: str
    status: int
    version: int = 0
    content: Any = None
