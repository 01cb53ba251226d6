"""A message is built from a list of fields, and only from valid ones."""

import importlib
import inspect
from typing import Any

import attrs
import msgpack

from daisyline.coordination.membership.gossip_messages import (
    BucketContents,
    BucketHashes,
    FactRecord,
    GossipPing,
    Join,
    MemberRecord,
    RecordUpdates,
    SettingsContent,
    SettingsHolders,
    Stamp,
    Summary,
)
from daisyline.coordination.membership.gossip_records import (
    MemberState,
    MemberStateNotice,
)
from daisyline.state.facts import Fact
from daisyline.state.members import Member
from daisyline.state.targets import Target
from tests.support import function_tests

load_tests = function_tests(__name__)

MODULE = importlib.import_module(
    'daisyline.coordination.membership.gossip_messages'
)
TARGET = Target('docs', 'v1', 'i', '10.0.0.1', 80)
RECORD = MemberRecord(
    Member('n', '10.0.0.1', 7000, 'recife', 'nordeste', 5, 1, TARGET)
)
FACT = FactRecord(Fact('verdict', 'docs', 3, ('done', 1)), 9000)
STAMP = Stamp('n', 5, 1)
SUMMARY = Summary(2**63, 4, 9)
MESSAGES = (
    Join('test', RECORD, SUMMARY),
    GossipPing(7, SUMMARY),
    RecordUpdates(
        (RECORD,), (FACT,), (MemberStateNotice(STAMP, MemberState.LEFT),)
    ),
    BucketHashes(3, (1, 2)),
    BucketContents(3, (1,), (STAMP,), (FACT,)),
    SettingsContent(4, b'x'),
    SettingsHolders(4, 2**63, b'\x01'),
)


def test_a_message_is_restored_from_its_list_of_fields() -> None:
    for message in MESSAGES:
        encoded = msgpack.packb(attrs.astuple(message))
        assert type(message)(*msgpack.unpackb(encoded)) == message


def test_a_message_rejects_fields_of_other_types() -> None:
    invalid_fields: tuple[Any, ...] = (None, 1.5, [[1]], {'a': 1}, 'ab', [None])
    classes = [
        member
        for _, member in inspect.getmembers(MODULE, inspect.isclass)
        if attrs.has(member)
    ]
    for message_class in classes:
        for invalid_field in invalid_fields:
            count = len(attrs.fields(message_class))
            refused = False
            try:
                message_class(*(invalid_field for _ in range(count)))
            except (TypeError, ValueError):
                refused = True
            assert refused, (message_class, invalid_field)
