"""Effects that the transport layer carries out for the decisions."""

from typing import Any

import attrs

from daisyline.state.store_time import StoreTime


@attrs.frozen
class Send:
    """Send a message to another node.

    Attributes:
        node: The name of the node.
        message: A message that the frame codec can encode.
    """

    node: str
    message: Any


@attrs.frozen
class PlatformRead:
    """Read one object of the platform; answered by a `PlatformReply`.

    Attributes:
        token: Returned in the reply.
        kind: The kind of the object.
        name: The name of the object.
    """

    token: str
    kind: str
    name: str


@attrs.frozen
class PlatformList:
    """Read all objects of one kind; answered by a `PlatformReply`.

    Attributes:
        token: Returned in the reply.
        kind: The kind of the objects.
        may_be_stale: Whether the platform may return what it held some seconds
            ago, which costs it less.
    """

    token: str
    kind: str
    may_be_stale: bool = False


@attrs.frozen
class PlatformWatch:
    """Wait for a change of a kind of objects; answered by a `PlatformReply`.

    Attributes:
        token: Returned in the reply.
        kind: The kind of the objects.
        since: The revision of the platform after which changes are returned.
        wait_ms: The longest time until the platform replies, in milliseconds.
    """

    token: str
    kind: str
    since: int
    wait_ms: int


@attrs.frozen
class PlatformWrite:
    """Write one object if it still has the given version.

    Attributes:
        token: Returned in the reply.
        kind: The kind of the object.
        name: The name of the object.
        version: The version that the object must have; 0 if it must not
            exist.
        content: The JSON value to write.
    """

    token: str
    kind: str
    name: str
    version: int
    content: Any


@attrs.frozen
class PlatformReply:
    """The platform's answer to a read, a list, a watch or a write.

    Attributes:
        token: The token of the effect that is answered.
        status: The HTTP status; 0 if there was no answer, so that the outcome
            is unknown.
        version: The version of the object, or the revision of the
            platform for a list.
        content: The JSON value, or a list of `(name, version, value)`.
        era: The era of the platform's store; None if the answer states none.
    """

    token: str
    status: int
    version: int = 0
    content: Any = None
    era: int | None = None

    @property
    def time(self) -> StoreTime:
        """Return the time of the store that the answer states."""
        return StoreTime(self.era or 0, self.version)


@attrs.frozen
class DropPlatformCalls:
    """Give up all calls on the platform that have no answer yet.

    Each is answered as lost. Those that are not sent yet must not reach a store
    that has come back from a copy, as their conditions may hold there again.
    """


@attrs.frozen
class CheckPresence:
    """Check whether the target still accepts connections.

    Attributes:
        number: Distinguishes the check from others of this process.
    """

    number: int


@attrs.frozen
class PresenceChecked:
    """A `CheckPresence` has ended.

    Attributes:
        number: The number of the check.
        is_present: Whether the target accepted a connection and kept it open.
    """

    number: int
    is_present: bool
