"""Records of members and facts in the messages between nodes."""

import enum
from typing import Any

import attrs

from daisyline.state.facts import Fact
from daisyline.state.members import Member

_INTEGER = attrs.validators.instance_of(int)
_TEXT = attrs.validators.instance_of(str)


class MemberState(enum.IntEnum):
    """The state of a member; of two at the same stamp the larger wins."""

    ALIVE = 0
    SUSPECT = 1
    LEFT = 2


def _member_from(fields: Any) -> Member:
    return fields if isinstance(fields, Member) else Member(*fields)


def _fact_from(fields: Any) -> Fact:
    return fields if isinstance(fields, Fact) else Fact(*fields)


@attrs.frozen
class MemberRecord:
    """A member and its state.

    Attributes:
        member: The member at its newest known stamp.
        state: Whether it is alive, suspected to have failed, or has left.
    """

    member: Member = attrs.field(converter=_member_from)
    state: MemberState = attrs.field(
        default=MemberState.ALIVE, converter=MemberState
    )


@attrs.frozen
class FactRecord:
    """A fact as it is sent, with its remaining lifetime.

    Attributes:
        fact: The fact.
        remaining_ms: Milliseconds until the fact expires.
    """

    fact: Fact = attrs.field(converter=_fact_from)
    remaining_ms: int = attrs.field(validator=_INTEGER)


@attrs.frozen
class Stamp:
    """The version of the record that the sender holds of a member.

    Attributes:
        name: The member's name.
        incarnation: `Member.incarnation`.
        revision: `Member.revision`.
    """

    name: str = attrs.field(validator=_TEXT)
    incarnation: int = attrs.field(validator=_INTEGER)
    revision: int = attrs.field(validator=_INTEGER)

    @property
    def order(self) -> tuple[int, int]:
        """Return the sort key of one member's stamps, as `Member.stamp`."""
        return (self.incarnation, self.revision)


def _stamp_from(fields: Any) -> Stamp:
    return fields if isinstance(fields, Stamp) else Stamp(*fields)


@attrs.frozen
class Summary:
    """A short description of what a node holds.

    Attributes:
        root: A hash over the node's live members and facts.
        settings_version: The version of the settings that the node holds.
        platform_confirmations: The newest confirmation that the node knows;
            it grows each time a reader gets an answer from the platform.
    """

    root: int = attrs.field(validator=_INTEGER)
    settings_version: int = attrs.field(validator=_INTEGER)
    platform_confirmations: int = attrs.field(validator=_INTEGER)


@attrs.frozen
class MemberStateNotice:
    """The state of a member whose record the receiver probably holds.

    Attributes:
        stamp: The member's stamp.
        state: Whether it is suspected to have failed, or has left.
    """

    stamp: Stamp = attrs.field(converter=_stamp_from)
    state: MemberState = attrs.field(converter=MemberState)

    @classmethod
    def from_record(cls, record: MemberRecord) -> 'MemberStateNotice':
        """Create the notice of a record."""
        member = record.member
        return cls(Stamp(member.name, *member.stamp), record.state)

    def to_record(self, member: Member) -> MemberRecord:
        """Return the full record.

        Args:
            member: The member as the receiver knows it.
        """
        _name, incarnation, revision = attrs.astuple(self.stamp)
        same = attrs.evolve(member, incarnation=incarnation, revision=revision)
        return MemberRecord(same, self.state)
