"""Messages between nodes that carry members, facts and settings."""

from typing import Any

import attrs

from daisyline.coordination.membership.gossip_records import (
    FactRecord,
    MemberRecord,
    MemberStateNotice,
    Stamp,
    Summary,
)

# An acknowledgement with this nonce answers no ping: its sender passes on that
# a read has just confirmed the settings.
CONFIRMATION_NONCE = -1
_INTEGER = attrs.validators.instance_of(int)
_TEXT = attrs.validators.instance_of(str)


def _checked_list(entries: Any) -> list[Any] | tuple[Any, ...]:
    if not isinstance(entries, (list, tuple)):
        raise TypeError('expected a list')
    return entries


def _record_from(fields: Any) -> MemberRecord:
    return fields if isinstance(fields, MemberRecord) else MemberRecord(*fields)


def _records_from(entries: Any) -> tuple[MemberRecord, ...]:
    return tuple(_record_from(entry) for entry in _checked_list(entries))


def _fact_records_from(entries: Any) -> tuple[FactRecord, ...]:
    return tuple(
        entry if isinstance(entry, FactRecord) else FactRecord(*entry)
        for entry in _checked_list(entries)
    )


def _stamps_from(entries: Any) -> tuple[Stamp, ...]:
    return tuple(
        entry if isinstance(entry, Stamp) else Stamp(*entry)
        for entry in _checked_list(entries)
    )


def _notices_from(entries: Any) -> tuple[MemberStateNotice, ...]:
    return tuple(
        entry
        if isinstance(entry, MemberStateNotice)
        else MemberStateNotice(*entry)
        for entry in _checked_list(entries)
    )


def _summary_from(fields: Any) -> Summary:
    return fields if isinstance(fields, Summary) else Summary(*fields)


def _integers_from(entries: Any) -> tuple[int, ...]:
    numbers = tuple(_checked_list(entries))
    if not all(isinstance(number, int) for number in numbers):
        raise TypeError('expected a list of integers')
    return numbers


def _names_from(entries: Any) -> tuple[str, ...]:
    names = tuple(_checked_list(entries))
    if not all(isinstance(name, str) for name in names):
        raise TypeError('expected a list of names')
    return names


@attrs.frozen
class Join:
    """Ask a node of the same cluster to add the sender as a member.

    Attributes:
        cluster: The sender's cluster; nodes of other clusters don't answer.
        record: The sender's member record.
        summary: The summary of what the sender holds.
    """

    cluster: str = attrs.field(validator=_TEXT)
    record: MemberRecord = attrs.field(converter=_record_from)
    summary: Summary = attrs.field(converter=_summary_from)


@attrs.frozen
class JoinReply:
    """Answer a `Join`.

    Attributes:
        record: The member record of the node that answers.
        summary: The summary of what it holds.
    """

    record: MemberRecord = attrs.field(converter=_record_from)
    summary: Summary = attrs.field(converter=_summary_from)


@attrs.frozen
class GossipPing:
    """Ask a member to show that it is alive.

    Attributes:
        nonce: Returned in the `GossipAck`.
        summary: The summary of what the sender holds.
    """

    nonce: int = attrs.field(validator=_INTEGER)
    summary: Summary = attrs.field(converter=_summary_from)


@attrs.frozen
class GossipAck:
    """Answer a `GossipPing`.

    Attributes:
        nonce: The nonce of the ping, or `CONFIRMATION_NONCE`.
        summary: The summary of what the sender holds.
    """

    nonce: int = attrs.field(validator=_INTEGER)
    summary: Summary = attrs.field(converter=_summary_from)


@attrs.frozen
class ProbeRequest:
    """Ask a member to ping another one on the sender's behalf.

    Attributes:
        nonce: Returned in the `ProbeAnswer`.
        name: The member to ping.
    """

    nonce: int = attrs.field(validator=_INTEGER)
    name: str = attrs.field(validator=_TEXT)


@attrs.frozen
class ProbeAnswer:
    """Report that the member named in a `ProbeRequest` has answered.

    Attributes:
        nonce: The nonce of the request.
    """

    nonce: int = attrs.field(validator=_INTEGER)


@attrs.frozen
class RecordUpdates:
    """Updates of members and facts.

    Attributes:
        records: The records of members that changed.
        facts: The facts that are new or changed.
        notices: The members that are suspected or have left.
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
    """Start anti-entropy with a peer.

    Attributes:
        member_count: The number of live members that the sender knows; 0 if
            its view may be out of date.
        hashes: A hash for each bucket of members and facts.
    """

    member_count: int = attrs.field(validator=_INTEGER)
    hashes: tuple[int, ...] = attrs.field(converter=_integers_from)


@attrs.frozen
class BucketContents:
    """List what the sender holds in the buckets that differ.

    Attributes:
        member_count: The number of live members that the sender knows; 0 if
            its view may be out of date.
        buckets: The numbers of the buckets.
        stamps: The stamps of the live members in these buckets.
        facts: The facts in these buckets.
    """

    member_count: int = attrs.field(validator=_INTEGER)
    buckets: tuple[int, ...] = attrs.field(converter=_integers_from)
    stamps: tuple[Stamp, ...] = attrs.field(converter=_stamps_from)
    facts: tuple[FactRecord, ...] = attrs.field(converter=_fact_records_from)


@attrs.frozen
class RecordsRequest:
    """Request the records of members by name."""

    names: tuple[str, ...] = attrs.field(converter=_names_from)


@attrs.frozen
class SettingsVersionNotice:
    """Report the version of the settings that the sender holds."""

    version: int = attrs.field(validator=_INTEGER)


@attrs.frozen
class SettingsRequest:
    """Request settings newer than the version that the sender holds."""

    version: int = attrs.field(validator=_INTEGER)


@attrs.frozen
class SettingsContent:
    """Transfer settings.

    Attributes:
        version: The version of the settings object on the platform.
        content: The value, without its history, as compressed JSON.
    """

    version: int = attrs.field(validator=_INTEGER)
    content: bytes = attrs.field(validator=attrs.validators.instance_of(bytes))


@attrs.frozen
class SettingsHolders:
    """Report which members hold a version of the settings.

    Attributes:
        version: The version.
        names_hash: A hash of the names of the sender's live members.
        bits: A bit for each of these names in order, least significant
            bit first; 1 if the member holds the version.
    """

    version: int = attrs.field(validator=_INTEGER)
    names_hash: int = attrs.field(validator=_INTEGER)
    bits: bytes = attrs.field(validator=attrs.validators.instance_of(bytes))
