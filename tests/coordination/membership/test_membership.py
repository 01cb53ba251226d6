"""Member records merge to the same view in any order."""

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from daisyline.coordination.membership.digest import Digest
from daisyline.coordination.membership.gossip_records import (
    MemberRecord,
    MemberState,
)
from daisyline.coordination.membership.membership import (
    SUSPICION_TIMEOUT_S,
    TOMBSTONE_OVERRIDE_AGE_S,
    Membership,
    MergeResult,
)
from daisyline.state.members import Member
from tests.support import function_tests

load_tests = function_tests(__name__)


def member(name: str, incarnation: int = 1, revision: int = 0) -> Member:
    return Member(
        name, '10.0.0.1', 1, 'recife', 'nordeste', incarnation, revision
    )


def new_membership() -> Membership:
    return Membership.from_member(member('me', incarnation=5), Digest())


RECORDS = st.builds(
    MemberRecord,
    st.builds(member, st.just('other'), st.integers(1, 3), st.integers(0, 2)),
    st.sampled_from(MemberState),
)


@settings(derandomize=True, max_examples=300)
@given(st.lists(RECORDS, min_size=1, max_size=4))
def test_the_newest_record_wins_in_any_order(
    records: list[MemberRecord],
) -> None:
    newest = max(
        records, key=lambda record: (*record.member.stamp, record.state)
    )
    for order in itertools.permutations(records):
        membership = new_membership()
        for record in order:
            membership.merge(record, 0)
        assert membership.record_of('other') == newest
        assert ('other' in membership.live) == (
            newest.state is not MemberState.LEFT
        )


def test_an_old_record_does_not_restore_a_removed_member() -> None:
    membership = new_membership()
    membership.merge(MemberRecord(member('other')), 0)
    membership.suspect('other', 0)
    assert membership.expire(SUSPICION_TIMEOUT_S)
    old = MemberRecord(member('other'))
    result = membership.merge(old, SUSPICION_TIMEOUT_S, trusted=True)
    assert result is MergeResult.DISPUTED
    assert 'other' not in membership.live
    restarted = MemberRecord(member('other', incarnation=2))
    assert membership.merge(restarted, SUSPICION_TIMEOUT_S) is MergeResult.NEWS
    assert 'other' in membership.live


def test_a_trusted_peer_overrides_an_old_tombstone() -> None:
    membership = new_membership()
    membership.merge(MemberRecord(member('other')), 0)
    membership.suspect('other', 0)
    membership.expire(SUSPICION_TIMEOUT_S)
    later = SUSPICION_TIMEOUT_S + TOMBSTONE_OVERRIDE_AGE_S
    old = MemberRecord(member('other'))
    assert membership.merge(old, later) is MergeResult.DISPUTED
    assert membership.merge(old, later, trusted=True) is MergeResult.NEWS


def test_a_node_refutes_its_record_from_before_a_clock_was_set_back() -> None:
    others = Membership.from_member(member('other'), Digest())
    before = MemberRecord(member('me', incarnation=9, revision=40))
    others.merge(before, 0)
    restarted = new_membership()
    own = MemberRecord(restarted.own_member)
    assert others.merge(own, 1) is MergeResult.OLD
    assert restarted.merge(before, 1) is MergeResult.REFUTED
    refuted = MemberRecord(restarted.own_member)
    assert others.merge(refuted, 1) is MergeResult.NEWS
    assert others.live['me'] == restarted.own_member


def test_a_suspected_node_refutes_with_a_newer_record() -> None:
    membership = new_membership()
    claim = MemberRecord(membership.own_member, MemberState.SUSPECT)
    assert membership.merge(claim, 0) is MergeResult.REFUTED
    assert membership.own_member.stamp > claim.member.stamp
    assert membership.merge(claim, 0) is MergeResult.OLD


def test_a_refuted_suspect_stays_a_member() -> None:
    membership = new_membership()
    membership.merge(MemberRecord(member('other')), 0)
    membership.suspect('other', 0)
    membership.merge(MemberRecord(member('other', revision=1)), 1)
    assert not membership.expire(SUSPICION_TIMEOUT_S)
    assert 'other' in membership.live
