"""The stages of a node on its way to hold a duty."""

import math

import attrs

from daisyline.coordination.duties.duty_config import Moment
from daisyline.coordination.duties.duty_lease import Lease
from daisyline.coordination.duties.duty_record import DutyNotice, DutyRecord


@attrs.frozen
class Waiting:
    """Another node holds the duty, as far as this one knows.

    Attributes:
        until: When the node may observe the object, in monotonic seconds.
    """

    until: float = -math.inf


@attrs.frozen
class Observing:
    """The node waits whether the object changes before it claims the duty.

    Attributes:
        revision: The revision of the object; 0 if there is none.
        record: What the object held; None if there is none or it is
            malformed.
        since: When it was read, in monotonic seconds.
    """

    revision: int
    record: DutyRecord | None
    since: float


@attrs.frozen
class Claiming:
    """The node has started to write itself into the object.

    Attributes:
        revision: The revision that the object must have.
        record: What is written.
    """

    revision: int
    record: DutyRecord


@attrs.frozen
class Holding:
    """The node holds the duty, unless another has claimed it since.

    Attributes:
        revision: The revision of the object at its last write or read.
        record: What the object holds.
        lease: The time in which the node may act.
        claimed: When the node became the holder.
        attempt: What is being written; None if no write is outstanding.
        must_read: Whether the outcome of a write is not known.
        must_renew: Whether the lease has to be renewed without a new report.
    """

    revision: int
    record: DutyRecord
    lease: Lease
    claimed: Moment
    attempt: DutyRecord | None = None
    must_read: bool = False
    must_renew: bool = False


Stage = Waiting | Observing | Claiming | Holding


@attrs.frozen
class Candidacy:
    """What the members of the fleet tell of the duty.

    Attributes:
        rank: The number of candidates before this node.
        member_count: The number of live members.
        failing_since: Since when the known holder has been suspected or is no
            member, in monotonic seconds; infinity if it is neither.
    """

    rank: int = 0
    member_count: int = 1
    failing_since: float = math.inf


@attrs.frozen
class HolderChanged:
    """This node has become the holder of the duty, or has given it up.

    Attributes:
        notice: The holder, as far as it is known.
        state: `taken` or `lost`.
        why: The cause.
    """

    notice: DutyNotice
    state: str
    why: str = ''
