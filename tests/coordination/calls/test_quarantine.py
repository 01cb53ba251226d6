"""Quarantine blocks a request that crashes targets, and no other request."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from daisyline.coordination.calls.crash_history import MAX_RETRIALS
from daisyline.coordination.calls.fingerprint import fingerprint
from daisyline.coordination.calls.quarantine import (
    FACT_TTL_MS,
    Quarantine,
)
from daisyline.coordination.events import EventLog, Quarantined
from daisyline.coordination.membership.fact_events import FactChanged, PutFact
from tests.support import function_tests

load_tests = function_tests(__name__)

NODES = 5
MAX_CRASHES = 3
POISON = 'poison'
INNOCENT = ('list', 'item', 'stock')


def _node(index: int) -> Quarantine:
    return Quarantine.from_config(f'n{index}', Random(index))


def _deliver(puts: list[PutFact], *nodes: Quarantine, now: float = 0) -> None:
    for put in puts:
        for node in nodes:
            node.handle(FactChanged(put.fact), now)


def test_a_fingerprint_depends_on_the_bounds_of_its_parts() -> None:
    assert fingerprint(b'GET', b'/a', b'b') != fingerprint(b'GET', b'/ab', b'')
    assert fingerprint(b'GET', b'/a', b'b') == fingerprint(b'GET', b'/a', b'b')


def test_two_sole_crashes_block_a_request_and_are_logged_once() -> None:
    log = EventLog.from_config()
    first = Quarantine.from_config('n0', Random(0), log)
    second = _node(1)
    _deliver(first.record_crash([POISON], 't0', 1), first, second)
    assert not first.is_blocked(POISON, 1)
    assert first.must_run_alone(POISON, 1)
    _deliver(second.record_crash([POISON], 't1', 2), first, first)
    assert first.is_blocked(POISON, 2)
    assert [type(event) for event in log.events_without_call()] == [Quarantined]


def test_one_sole_crash_after_two_shared_ones_blocks_only_the_poison() -> None:
    first, second = _node(0), _node(1)
    _deliver(second.record_crash([POISON, 'list'], 't1', 1), first)
    first.record_crash([POISON, 'list'], 't0', 1)
    assert not first.is_blocked(POISON, 1)
    assert not first.is_blocked('list', 1)
    first.record_crash([POISON], 't0', 2)
    assert first.is_blocked(POISON, 2)
    assert not first.is_blocked('list', 2)


def test_two_targets_that_crash_together_block_nothing() -> None:
    nodes = [_node(index) for index in range(3)]
    for node in nodes[:2]:
        crash = node.record_crash(['page'], 't', 3, began_at=1)
        _deliver(crash, *nodes, now=3)
    # Both runs began at 1 s, when neither crash was known.
    assert not any(node.is_blocked('page', 3) for node in nodes)
    _deliver(nodes[2].record_crash(['page'], 't', 5, began_at=4), *nodes)
    assert all(node.is_blocked('page', 5) for node in nodes)


def test_three_crashes_block_a_request_though_none_was_known_before() -> None:
    nodes = [_node(index) for index in range(3)]
    for at, node in enumerate(nodes):
        crash = node.record_crash([POISON], 't', 9, began_at=at)
        _deliver(crash, *nodes, now=9)
    assert all(node.is_blocked(POISON, 9) for node in nodes)


def test_an_answer_after_the_crash_clears_what_is_reported_later() -> None:
    # The entry node knows of the answer before it knows of the crash.
    reporter, entry = _node(0), _node(1)
    puts = reporter.record_crash(['page'], 't', 1)
    told = entry.record_late_answer('page', 1)
    assert [put.is_urgent for put in told] == [True]
    _deliver(puts, entry)
    _deliver(reporter.handle(FactChanged(told[0].fact), 1), entry)
    assert not entry.must_run_alone('page', 1)
    assert not reporter.must_run_alone('page', 1)


def _block(nodes: list[Quarantine], request: str) -> None:
    for node in nodes[:2]:
        _deliver(node.record_crash([request], 't', 0), *nodes)


def test_a_success_of_a_retrial_ends_the_block_at_all_nodes() -> None:
    nodes = [_node(index) for index in range(3)]
    _block(nodes, 'page')
    assert not nodes[2].claim_retrial('page', 1)
    claim = nodes[2].claim_retrial('page', 10)
    _deliver(claim, *nodes)
    assert [node.retrial_node('page') for node in nodes] == ['n2', 'n2', 'n2']
    assert not nodes[2].may_retry('page', 10)
    assert [node.may_retry('page', 12) for node in nodes] == [
        False,
        False,
        True,
    ]
    _deliver(nodes[2].record_success('page', 12), *nodes)
    assert not any(node.must_run_alone('page', 12) for node in nodes)


def test_a_node_whose_target_crashed_claims_a_retrial_after_the_others() -> (
    None
):
    """Guards against one faulty target that uses up all retrials."""
    reporter, other = _node(0), _node(2)
    _block([reporter, _node(1), other], 'page')
    assert not reporter.claim_retrial('page', 4)
    assert other.claim_retrial('page', 4)
    assert reporter.claim_retrial('page', 5)


def test_a_block_ends_when_the_facts_about_it_expire() -> None:
    nodes = [_node(index) for index in range(2)]
    _block(nodes, POISON)
    day_s = FACT_TTL_MS / 1000
    assert all(node.is_blocked(POISON, day_s - 1) for node in nodes)
    assert not any(node.must_run_alone(POISON, day_s) for node in nodes)


def test_a_poison_gets_two_retrials_over_all_nodes() -> None:
    """Guards against retrials without end, as each can crash a target."""

    @settings(derandomize=True, max_examples=25, deadline=None)
    @given(st.randoms(use_true_random=False))
    def check(rng: Random) -> None:
        nodes = [_node(index) for index in range(NODES)]
        _block(nodes, POISON)
        late: list[tuple[float, PutFact]] = []
        ran = 0
        for step in range(1, 220):
            now = step / 2
            puts: list[PutFact] = []
            for node in rng.sample(nodes, 3):
                puts += node.claim_retrial(POISON, now)
                if node.may_retry(POISON, now):
                    ran += 1
                    node.end_retrial(POISON, now)
                    puts += node.record_crash([POISON], 't', now)
            # Gossip takes up to a second, in any order.
            late += [(now + rng.random(), put) for put in puts]
            due = [put for at, put in late if at <= now + 0.5]
            late = [(at, put) for at, put in late if at > now + 0.5]
            rng.shuffle(due)
            _deliver(due, *nodes, now=now + 0.5)
        assert 0 < ran <= MAX_RETRIALS
        assert all(node.is_blocked(POISON, 110) for node in nodes)

    check()


def test_a_success_anywhere_clears_a_request_everywhere() -> None:
    first, second = _node(0), _node(1)
    _deliver(first.record_crash(['list', POISON], 't0', 1), second)
    _deliver(second.record_success('list', 2), first)
    assert not first.must_run_alone('list', 3)
    assert first.must_run_alone(POISON, 3)


def test_a_restarted_node_keeps_its_earlier_crashes_reported() -> None:
    other = _node(1)
    before = Quarantine.from_config('n0', Random(1))
    after = Quarantine.from_config('n0', Random(2))
    _deliver(before.record_crash([POISON], 't0', 1), other, after)
    _deliver(after.record_crash([POISON], 't0', 2), other)
    assert other.is_blocked(POISON, 3)


def test_reports_merge_alike_in_any_order_and_when_repeated() -> None:
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.randoms(use_true_random=False), st.data())
    def check(rng: Random, drawn: st.DataObject) -> None:
        nodes = [_node(index) for index in range(NODES)]
        puts: list[PutFact] = []
        for _ in range(drawn.draw(st.integers(1, 12))):
            node = rng.choice(nodes)
            if rng.choice((True, True, False)):
                others = rng.sample(INNOCENT, rng.randrange(3))
                puts.extend(node.record_crash([POISON, *others], 't', 0))
                puts.extend(node.claim_retrial(POISON, 9))
            else:
                puts.extend(node.record_success(rng.choice(INNOCENT), 0))
            _deliver(puts, rng.choice(nodes))
        ordered, shuffled = _node(NODES), _node(NODES + 1)
        _deliver(puts, ordered)
        doubled = puts * 2
        rng.shuffle(doubled)
        _deliver(doubled, shuffled)
        for request in (POISON, *INNOCENT):
            assert ordered.is_blocked(request, 0) == shuffled.is_blocked(
                request, 0
            )
            assert ordered.must_run_alone(
                request, 0
            ) == shuffled.must_run_alone(request, 0)
            assert ordered.retrial_node(request) == shuffled.retrial_node(
                request
            )

    check()


class _Fleet:
    """Nodes whose targets crash on one request, with incomplete gossip."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.nodes = [_node(index) for index in range(NODES)]
        self.puts: list[PutFact] = []
        self.crashes = 0

    def run_request(self, request: str) -> bool:
        """Run a request at a random target; return whether it was refused."""
        node = self.rng.choice(self.nodes)
        if node.is_blocked(request, 0):
            return True
        others = self.rng.sample(
            INNOCENT, self.rng.randrange(len(INNOCENT) + 1)
        )
        if node.must_run_alone(request, 0):
            others = []
        # A suspect never runs beside other calls.
        others = [one for one in others if not node.must_run_alone(one, 0)]
        self._finish(node, [request, *others])
        return False

    def send_poison(self, delivered_share: float) -> None:
        """Send the poison once, and spread the facts if it ran."""
        if not self.run_request(POISON):
            self.gossip(delivered_share)

    def run_innocent(self) -> None:
        """Run some innocent requests, while half of the gossip is lost."""
        for _ in range(self.rng.randrange(6)):
            self.run_request(self.rng.choice(INNOCENT))
            self.gossip(0.5)

    def blocked_innocent(self) -> list[str]:
        """Return the innocent requests that any node refuses."""
        return [
            request
            for request in INNOCENT
            for node in self.nodes
            if node.is_blocked(request, 0)
        ]

    def count_nodes_blocking_poison(self) -> int:
        """Return how many nodes refuse the poison."""
        return sum(node.is_blocked(POISON, 0) for node in self.nodes)

    def gossip(self, delivered_share: float) -> None:
        """Deliver a random share of the facts to each node, half twice."""
        for node in self.nodes:
            delivered = [
                put for put in self.puts if self.rng.random() < delivered_share
            ]
            _deliver(delivered, node)
            _deliver(self.rng.sample(delivered, len(delivered) // 2), node)

    def _finish(self, node: Quarantine, in_flight: list[str]) -> None:
        if POISON in in_flight:
            self.crashes += 1
            self.puts.extend(node.record_crash(in_flight, 't', 0))
            return
        for one in in_flight:
            self.puts.extend(node.record_success(one, 0))


def _run_fleet(rng: Random, *, is_first_resend_early: bool) -> None:
    fleet = _Fleet(rng)
    # The first re-send may come before all nodes have the facts.
    fleet.send_poison(0.3 if is_first_resend_early else 1)
    for _ in range(8):
        fleet.run_innocent()
        fleet.send_poison(1)
        assert not fleet.blocked_innocent()
    assert fleet.crashes <= MAX_CRASHES
    assert fleet.count_nodes_blocking_poison() == NODES


def test_poison_is_blocked_within_three_crashes_and_nothing_else_is() -> None:
    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(st.integers(0, 10**6), st.booleans())
    def check(seed: int, is_early: bool) -> None:
        _run_fleet(Random(seed), is_first_resend_early=is_early)

    check()
