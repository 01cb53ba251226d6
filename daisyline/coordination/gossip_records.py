"""Records that messages between nodes carry."""

import enum
from typing import Any

import attrs

from daisyline.state.facts import Fact
from daisyline.state.members import Member

_INTEGER = attrs.validators.instance_of(int)
_TEXT = attrs.validators.instance_of(str)


class Standing(enum.IntEnum):
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
        standing: Whether it is alive, suspected to have failed, or has left.
    """

    member: Member = attrs.field(converter=_member_from)
    standing: Standing = attrs.field(default=Standing.ALIVE, converter=Standing)


@attrs.frozen
class FactRecord:
    """A fact on its way.

    Attributes:
        fact: The fact.
        left_ms: How much longer it is kept, in milliseconds.
    """

    fact: Fact = attrs.field(converter=_fact_from)
    left_ms: int = attrs.field(validator=_INTEGER)


@attrs.frozen
class Stamp:
    """The newest record of a live member that the sender holds."""

    name: str = attrs.field(validator=_TEXT)
    incarnation: int = attrs.field(validator=_INTEGER)
    revision: int = attrs.field(validator=_INTEGER)

    @property
    def order(self) -> tuple[int, int]:
        """Return what orders stamps of one member, as `Member.stamp`."""
        return (self.incarnation, self.revision)


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
    confirmed: int = attrs.field(validator=_INTEGER)


@attrs.frozen
class Notice:
    """What is said of a member whose record the receiver should hold.

    Attributes:
        stamp: The member's stamp.
        standing: Whether it is suspected to have failed, or has left.
    """

    stamp: Stamp = attrs.field(converter=_stamp_from)
    standing: Standing = attrs.field(converter=Standing)

    @classmethod
    def from_record(cls, record: MemberRecord) -> 'Notice':
        """Shorten a record."""
        member = record.member
        return cls(Stamp(member.name, *member.stamp), record.standing)

    def of_member(self, member: Member) -> MemberRecord:
        """Return the record that this one was made from."""
        _name, incarnation, revision = attrs.astuple(self.stamp)
        same = attrs.evolve(member, incarnation=incarnation, revision=revision)
        return MemberRecord(same, self.standing)
