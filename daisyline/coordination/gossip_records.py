"""Records that messages between nodes carry."""

import enum
from typing import Any

import attrs

from daisyline.state.facts import Fact
from daisyline.state.members import Member

_INTEGER = attrs.validators.instance_of(int)
_TEXT = attrs.validators.instance_of(str)


class MemberState(enum.IntEnum):
    """What is said of a member; at one stamp the larger holds."""

    ALIVE = 0
    SUSPECT = 1
    LEFT = 2


def _member_from(fields: Any) -> Member:
    return fields if isinstance(fields, Member) else Member(*fields)


def _fact_from(fields: Any) -> Fact:
    return fields if isinstance(fields, Fact) else Fact(*fields)


@attrs.frozen
class MemberRecord:
    """A member and what is said of it.

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
    """A fact on its way.

    Attributes:
        fact: The fact.
        remaining_ms: How much longer it is kept, in milliseconds.
    """

    fact: Fact = attrs.field(converter=_fact_from)
    remaining_ms: int = attrs.field(validator=_INTEGER)


@attrs.frozen
class Stamp:
    """The newest record of a live member that the sender holds."""

    name: str = attrs.field(validator=_TEXT)
    incarnation: int = attrs.field(validator=_INTEGER)
    beat: int = attrs.field(validator=_INTEGER)

    @property
    def order(self) -> tuple[int, int]:
        """Return what orders stamps of one member, as `Member.stamp`."""
        return (self.incarnation, self.beat)


def _stamp_from(fields: Any) -> Stamp:
    return fields if isinstance(fields, Stamp) else Stamp(*fields)


@attrs.frozen
class Summary:
    """What a node holds, in short.

    Attributes:
        root: A hash over its live members and its facts.
        settings_version: The version of the settings that it holds.
        confirmed: Grows when a reader hears from the platform.
    """

    root: int = attrs.field(validator=_INTEGER)
    settings_version: int = attrs.field(validator=_INTEGER)
    platform_confirmations: int = attrs.field(validator=_INTEGER)


@attrs.frozen
class MemberStateNotice:
    """What is said of a member whose record the receiver should hold.

    Attributes:
        stamp: The member's stamp.
        state: Whether it is suspected to have failed, or has left.
    """

    stamp: Stamp = attrs.field(converter=_stamp_from)
    state: MemberState = attrs.field(converter=MemberState)

    @classmethod
    def from_record(cls, record: MemberRecord) -> 'MemberStateNotice':
        """Shorten a record."""
        member = record.member
        return cls(Stamp(member.name, *member.stamp), record.state)

    def to_record(self, member: Member) -> MemberRecord:
        """Return the record that this one was made from."""
        _name, incarnation, beat = attrs.astuple(self.stamp)
        same = attrs.evolve(member, incarnation=incarnation, beat=beat)
        return MemberRecord(same, self.state)
