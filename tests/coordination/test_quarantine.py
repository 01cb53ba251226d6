"""A request that crashes targets is stopped, and no other."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from daisyline.coordination.events import EventLog, Quarantined
from daisyline.coordination.fact_events import FactChanged, PutFact
from daisyline.coordination.quarantine import Quarantine, fingerprint
from tests.support import function_tests

load_tests = function_tests(__name__)

NODES = 5
MAX_CRASHES = 3
POISON = 'poison'
POPULAR = ('list', 'item', 'stock')


def _node(index: int) -> Quarantine:
    return Quarantine.from_config(f'n{index}', Random(index))


def _tell(puts: list[PutFact], *nodes: Quarantine) -> None:
    for put in puts:
        for node in nodes:
            node.handle(FactChanged(put.fact), 0)


def test_parts_of_a_request_do_not_run_together_in_its_fingerprint() -> None:
    assert fingerprint(b'GET', b'/a', b'b') != fingerprint(b'GET', b'/ab', b'')
    assert fingerprint(b'GET', b'/a', b'b') == fingerprint(b'GET', b'/a', b'b')


def test_two_crashes_alone_block_a_request_and_are_logged_once() -> None:
    log = EventLog.from_config()
    first = Quarantine.from_config('n0', Random(0), log)
    _tell(first.crashed([POISON], 't0', 1), first)
    assert not first.blocked(POISON, 1)
    assert first.must_run_alone(POISON, 1)
    _tell(_node(1).crashed([POISON], 't1', 2), first, first)
    assert first.blocked(POISON, 2)
    assert [type(event) for event in log.events_without_call()] == [Quarantined]


def test_a_crash_alone_settles_two_shared_ones_for_the_poison_only() -> None:
    first, second = _node(0), _node(1)
    _tell(second.crashed([POISON, 'list'], 't1', 1), first)
    first.crashed([POISON, 'list'], 't0', 1)
    assert not first.blocked(POISON, 1)
    assert not first.blocked('list', 1)
    first.crashed([POISON], 't0', 2)
    assert first.blocked(POISON, 2)
    assert not first.blocked('list', 2)


def test_a_success_anywhere_clears_a_request_everywhere() -> None:
    first, second = _node(0), _node(1)
    _tell(first.crashed(['list', POISON], 't0', 1), second)
    _tell(second.succeeded('list', 2), first)
    assert not first.must_run_alone('list', 3)
    assert first.must_run_alone(POISON, 3)


def test_a_restarted_node_does_not_take_its_crashes_back() -> None:
    other = _node(1)
    before = Quarantine.from_config('n0', Random(1))
    after = Quarantine.from_config('n0', Random(2))
    _tell(before.crashed([POISON], 't0', 1), other)
    _tell(after.crashed([POISON], 't0', 2), other)
    assert other.blocked(POISON, 3)


def test_reports_merge_the_same_in_any_order_and_number() -> None:
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.randoms(use_true_random=False), st.data())
    def check(rng: Random, drawn: st.DataObject) -> None:
        nodes = [_node(index) for index in range(NODES)]
        puts: list[PutFact] = []
        for _ in range(drawn.draw(st.integers(1, 12))):
            node = rng.choice(nodes)
            if rng.choice((True, True, False)):
                beside = rng.sample(POPULAR, rng.randrange(3))
                puts.extend(node.crashed([POISON, *beside], 't', 0))
            else:
                puts.extend(node.succeeded(rng.choice(POPULAR), 0))
            _tell(puts, rng.choice(nodes))
        ordered, shuffled = _node(NODES), _node(NODES + 1)
        _tell(puts, ordered)
        doubled = puts * 2
        rng.shuffle(doubled)
        _tell(doubled, shuffled)
        for request in (POISON, *POPULAR):
            assert ordered.blocked(request, 0) == shuffled.blocked(request, 0)
            assert ordered.must_run_alone(
                request, 0
            ) == shuffled.must_run_alone(request, 0)

    check()


class _World:
    """Targets that crash on the poison, and gossip that is late."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.nodes = [_node(index) for index in range(NODES)]
        self.late: list[PutFact] = []
        self.crashes = 0

    def run(self, request: str) -> bool:
        """Run a request at some target; return whether it was refused."""
        node = self.rng.choice(self.nodes)
        if node.blocked(request, 0):
            return True
        beside = self.rng.sample(POPULAR, self.rng.randrange(len(POPULAR) + 1))
        if node.must_run_alone(request, 0):
            beside = []
        # A suspect never joins calls that run.
        beside = [one for one in beside if not node.must_run_alone(one, 0)]
        self._end(node, [request, *beside])
        return False

    def send_poison(self, heard_of: float) -> None:
        """Send the poison once, and gossip of it if it ran."""
        if not self.run(POISON):
            self.gossip(heard_of)

    def run_popular(self) -> None:
        """Run some innocent requests, with gossip that gets lost."""
        for _ in range(self.rng.randrange(6)):
            self.run(self.rng.choice(POPULAR))
            self.gossip(0.5)

    def blocked_popular(self) -> list[str]:
        """Return the innocent requests that any node would refuse."""
        return [
            request
            for request in POPULAR
            for node in self.nodes
            if node.blocked(request, 0)
        ]

    def refusing_poison(self) -> int:
        """Return how many nodes refuse the poison."""
        return sum(node.blocked(POISON, 0) for node in self.nodes)

    def gossip(self, heard_of: float) -> None:
        """Deliver a part of the facts to each node, some of them twice."""
        for node in self.nodes:
            heard = [put for put in self.late if self.rng.random() < heard_of]
            _tell(heard, node)
            _tell(self.rng.sample(heard, len(heard) // 2), node)

    def _end(self, node: Quarantine, in_flight: list[str]) -> None:
        if POISON in in_flight:
            self.crashes += 1
            self.late.extend(node.crashed(in_flight, 't', 0))
            return
        for one in in_flight:
            self.late.extend(node.succeeded(one, 0))


def _play(rng: Random, *, first_resend_is_early: bool) -> None:
    world = _World(rng)
    # One re-send may overtake the gossip, lost in part.
    world.send_poison(0.3 if first_resend_is_early else 1)
    for _ in range(8):
        world.run_popular()
        world.send_poison(1)
        assert not world.blocked_popular()
    assert world.crashes <= MAX_CRASHES
    assert world.refusing_poison() == NODES


def test_poison_is_blocked_within_three_crashes_and_nothing_else_is() -> None:
    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(st.integers(0, 10**6), st.booleans())
    def check(seed: int, is_early: bool) -> None:
        _play(Random(seed), first_resend_is_early=is_early)

    check()
