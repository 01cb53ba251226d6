"""Messages by which nodes spread members, facts and settings."""

from typing import Any

import attrs

from daisyline.coordination.gossip_records import (
    FactRecord,
    MemberRecord,
    MemberStateNotice,
    Stamp,
    Summary,
)

_INTEGER = attrs.validators.instance_of(int)
_TEXT = attrs.validators.instance_of(str)


def _listed(entries: Any) -> list[Any] | tuple[Any, ...]:
    if not isinstance(entries, (list, tuple)):
        raise TypeError('a list is expected')
    return entries


def _record_from(fields: Any) -> MemberRecord:
    return fields if isinstance(fields, MemberRecord) else MemberRecord(*fields)


def _records_from(entries: Any) -> tuple[MemberRecord, ...]:
    return tuple(_record_from(entry) for entry in _listed(entries))


def _fact_records_from(entries: Any) -> tuple[FactRecord, ...]:
    return tuple(
        entry if isinstance(entry, FactRecord) else FactRecord(*entry)
        for entry in _listed(entries)
    )


def _stamps_from(entries: Any) -> tuple[Stamp, ...]:
    return tuple(
        entry if isinstance(entry, Stamp) else Stamp(*entry)
        for entry in _listed(entries)
    )


def _notices_from(entries: Any) -> tuple[MemberStateNotice, ...]:
    return tuple(
        entry
        if isinstance(entry, MemberStateNotice)
        else MemberStateNotice(*entry)
        for entry in _listed(entries)
    )


def _summary_from(fields: Any) -> Summary:
    return fields if isinstance(fields, Summary) else Summary(*fields)


def _integers_from(entries: Any) -> tuple[int, ...]:
    numbers = tuple(_listed(entries))
    if not all(isinstance(number, int) for number in numbers):
        raise TypeError('a list of integers is expected')
    return numbers


def _names_from(entries: Any) -> tuple[str, ...]:
    names = tuple(_listed(entries))
    if not all(isinstance(name, str) for name in names):
        raise TypeError('a list of names is expected')
    return names


@attrs.frozen
class Join:
    """Ask a node of the same cluster to take the sender in.

    Attributes:
        cluster: The sender's cluster; a node of another one doesn't answer.
        record: The sender.
        summary: What the sender holds.
    """

    cluster: str = attrs.field(validator=_TEXT)
    record: MemberRecord = attrs.field(converter=_record_from)
    summary: Summary = attrs.field(converter=_summary_from)


@attrs.frozen
class JoinReply:
    """Answer a `Join`.

    Attributes:
        record: The node that answers.
        summary: What it holds.
    """

    record: MemberRecord = attrs.field(converter=_record_from)
    summary: Summary = attrs.field(converter=_summary_from)


@attrs.frozen
class GossipPing:
    """Ask a member to show that it is alive.

    Attributes:
        nonce: Comes back in the `GossipAck`.
        summary: What the sender holds.
    """

    nonce: int = attrs.field(validator=_INTEGER)
    summary: Summary = attrs.field(converter=_summary_from)


@attrs.frozen
class GossipAck:
    """Answer a `GossipPing`."""

    nonce: int = attrs.field(validator=_INTEGER)
    summary: Summary = attrs.field(converter=_summary_from)


@attrs.frozen
class ProbeRequest:
    """Ask a member to ping another in the sender's place.

    Attributes:
        nonce: Comes back in the `ProbeAnswer`.
        name: The member to ping.
    """

    nonce: int = attrs.field(validator=_INTEGER)
    name: str = attrs.field(validator=_TEXT)


@attrs.frozen
class ProbeAnswer:
    """Say that the member that was to be pinged has answered."""

    nonce: int = attrs.field(validator=_INTEGER)


@attrs.frozen
class RecordUpdates:
    """News of members and facts.

    Attributes:
        records: Members that changed.
        facts: Facts that are new.
        notices: Members that are suspected or have left.
    """

    records: tuple[MemberRecord, ...] = attrs.field(
        default=(), converter=_records_from
    )
    facts: tuple[FactRecord, ...] = attrs.field(
        default=(), converter=_fact_records_from
    )
    notices: tuple[MemberStateNotice, ...] = attrs.field(
        default=(), converter=_notices_from
    )


@attrs.frozen
class BucketHashes:
    """Open a comparison of all that two nodes hold.

    Attributes:
        weight: How many live members the sender holds; 0 if it doubts them.
        hashes: A hash for each bucket of members and facts.
    """

    member_count: int = attrs.field(validator=_INTEGER)
    hashes: tuple[int, ...] = attrs.field(converter=_integers_from)


@attrs.frozen
class BucketContents:
    """List the contents of the buckets that differ.

    Attributes:
        weight: How many live members the sender holds; 0 if it doubts them.
        buckets: The buckets' numbers.
        stamps: The live members that the sender holds in them.
        facts: The facts that it holds in them.
    """

    member_count: int = attrs.field(validator=_INTEGER)
    buckets: tuple[int, ...] = attrs.field(converter=_integers_from)
    stamps: tuple[Stamp, ...] = attrs.field(converter=_stamps_from)
    facts: tuple[FactRecord, ...] = attrs.field(converter=_fact_records_from)


@attrs.frozen
class RecordsRequest:
    """Ask for the records of some members."""

    names: tuple[str, ...] = attrs.field(converter=_names_from)


@attrs.frozen
class SettingsVersionNotice:
    """Say which version of the settings the sender holds."""

    version: int = attrs.field(validator=_INTEGER)


@attrs.frozen
class SettingsRequest:
    """Ask for settings newer than the version that the sender holds."""

    version: int = attrs.field(validator=_INTEGER)


@attrs.frozen
class SettingsContent:
    """Bring settings.

    Attributes:
        version: The platform's version.
        content: The platform object's value as compressed JSON.
    """

    version: int = attrs.field(validator=_INTEGER)
    content: bytes = attrs.field(validator=attrs.validators.instance_of(bytes))


@attrs.frozen
class SettingsHolders:
    """Say which members hold a version of the settings.

    Attributes:
        version: The version.
        names_hash: A hash of the names of the sender's live members.
        bits: A bit for each of these names in order, low bits first.
    """

    version: int = attrs.field(validator=_INTEGER)
    names_hash: int = attrs.field(validator=_INTEGER)
    bits: bytes = attrs.field(validator=attrs.validators.instance_of(bytes))
