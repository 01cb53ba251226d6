"""Records of members merge to one view in whatever order they come."""

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from daisyline.coordination.digest import Digest
from daisyline.coordination.gossip_records import MemberRecord, Standing
from daisyline.coordination.membership import (
    CERTAIN_S,
    SUSPICION_S,
    Membership,
    Merge,
)
from daisyline.state.members import Member
from tests.support import function_tests

load_tests = function_tests(__name__)


def member(name: str, incarnation: int = 1, revision: int = 0) -> Member:
    return Member(
        name, '10.0.0.1', 1, 'recife', 'nordeste', incarnation, revision
    )


def view() -> Membership:
    return Membership.from_member(member('me', incarnation=5), Digest())


RECORDS = st.builds(
    MemberRecord,
    st.builds(member, st.just('other'), st.integers(1, 3), st.integers(0, 2)),
    st.sampled_from(Standing),
)


@settings(derandomize=True, max_examples=300)
@given(st.lists(RECORDS, min_size=1, max_size=4))
def test_the_newest_record_holds_in_any_order(
    records: list[MemberRecord],
) -> None:
    newest = max(records, key=lambda one: (*one.member.stamp, one.standing))
    for order in itertools.permutations(records):
        membership = view()
        for record in order:
            membership.merge(record, 0)
        assert membership.record_of('other') == newest
        assert ('other' in membership.live) == (
            newest.standing is not Standing.LEFT
        )


def test_a_removed_member_does_not_come_back_by_an_old_record() -> None:
    membership = view()
    membership.merge(MemberRecord(member('other')), 0)
    membership.suspect('other', 0)
    assert membership.expire(SUSPICION_S)
    old = MemberRecord(member('other'))
    result = membership.merge(old, SUSPICION_S, trusted=True)
    assert result is Merge.DISPUTED
    assert 'other' not in membership.live
    restarted = MemberRecord(member('other', incarnation=2))
    assert membership.merge(restarted, SUSPICION_S) is Merge.NEWS
    assert 'other' in membership.live


def test_an_old_tombstone_yields_to_a_peer_that_sees_more() -> None:
    membership = view()
    membership.merge(MemberRecord(member('other')), 0)
    membership.suspect('other', 0)
    membership.expire(SUSPICION_S)
    later = SUSPICION_S + CERTAIN_S
    old = MemberRecord(member('other'))
    assert membership.merge(old, later) is Merge.DISPUTED
    assert membership.merge(old, later, trusted=True) is Merge.NEWS


def test_a_suspected_node_refutes_with_a_higher_beat() -> None:
    membership = view()
    claim = MemberRecord(membership.me, Standing.SUSPECT)
    assert membership.merge(claim, 0) is Merge.REFUTED
    assert membership.me.stamp > claim.member.stamp
    assert membership.merge(claim, 0) is Merge.OLD


def test_a_refuted_suspect_stays() -> None:
    membership = view()
    membership.merge(MemberRecord(member('other')), 0)
    membership.suspect('other', 0)
    membership.merge(MemberRecord(member('other', revision=1)), 1)
    assert not membership.expire(SUSPICION_S)
    assert 'other' in membership.live
