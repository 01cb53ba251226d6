"""Quarantine blocks a request that crashes targets, and no other request."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from daisyline.coordination.calls.quarantine import Quarantine, fingerprint
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


def _deliver(puts: list[PutFact], *nodes: Quarantine) -> None:
    for put in puts:
        for node in nodes:
            node.handle(FactChanged(put.fact), 0)


def test_a_fingerprint_depends_on_the_bounds_of_its_parts() -> None:
    assert fingerprint(b'GET', b'/a', b'b') != fingerprint(b'GET', b'/ab', b'')
    assert fingerprint(b'GET', b'/a', b'b') == fingerprint(b'GET', b'/a', b'b')


def test_two_sole_crashes_block_a_request_and_are_logged_once() -> None:
    log = EventLog.from_config()
    first = Quarantine.from_config('n0', Random(0), log)
    _deliver(first.record_crash([POISON], 't0', 1), first)
    assert not first.is_blocked(POISON, 1)
    assert first.must_run_alone(POISON, 1)
    _deliver(_node(1).record_crash([POISON], 't1', 2), first, first)
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
    _deliver(before.record_crash([POISON], 't0', 1), other)
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
