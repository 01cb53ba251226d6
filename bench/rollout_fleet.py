"""A few nodes in one process: calls go in, effects go from node to node."""

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

import attrs

from daisyline.coordination.effects import (
    PlatformRead,
    PlatformReply,
    PlatformWrite,
    Send,
)
from daisyline.coordination.fact_events import FactChanged, PutFact
from daisyline.coordination.rollout import Rollouts
from daisyline.state.rollout_plan import RolloutPlan
from daisyline.state.rollout_state import CallSample, RolloutState, fact_name_of

SERVICE = 'catalogue'
TICK_S = 0.1
GOSSIP_S = 0.5
ROUTES = ('/list', '/item', '/stock', '/price', '/sheet')
ROUTE_WEIGHTS = (40, 30, 15, 10, 5)
IN_FLIGHT = 9
BASE_FAILED = 0.001
# Parameters of the log-normal service time, in the logarithm of microseconds.
BASE_LOG_US = 9.2
BASE_LOG_SPREAD = 0.4

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409


@attrs.frozen
class Call:
    """A call whose outcome a fault may change."""

    now: float
    route: str
    node: str
    is_new: bool
    new_load: float
    rng: Random


Fault = Callable[[Call, CallSample], CallSample]


@attrs.define
class Platform:
    """One object store: conditional writes, and it can be down."""

    stored: dict[str, tuple[int, Any]] = attrs.field(factory=dict)
    is_down: bool = False
    loses_answers: bool = False
    revision: int = 0
    writes: int = 0

    def answer(self, effect: PlatformRead | PlatformWrite) -> PlatformReply:
        """Carry out a read or a write."""
        if self.is_down:
            return PlatformReply(effect.token, 0)
        version, content = self.stored.get(effect.name, (0, None))
        if isinstance(effect, PlatformRead):
            status = _OK if version else _NOT_FOUND
            return PlatformReply(effect.token, status, version, content)
        if effect.version != version:
            return PlatformReply(effect.token, _CONFLICT, version)
        self.revision += 1
        self.writes += 1
        self.stored[effect.name] = (self.revision, effect.content)
        status = 0 if self.loses_answers else _OK
        return PlatformReply(effect.token, status, self.revision)


@attrs.define
class Fleet:
    """Nodes of one service, half of them beside targets of a new version."""

    nodes: dict[str, Rollouts]
    plan: RolloutPlan
    rng: Random
    rate: float
    new_nodes: list[str]
    old_nodes: list[str]
    platform: Platform = attrs.field(factory=Platform)
    now: float = 0
    paused: set[str] = attrs.field(factory=set)
    delivered: Counter[str] = attrs.field(factory=Counter)
    exposed: int = 0
    in_flight: list[tuple[float, str, Any]] = attrs.field(factory=list)

    @classmethod
    def from_config(
        cls, seed: int, rate: float, targets: int = 6, finish_in_s: float = 120
    ) -> 'Fleet':
        """Build nodes that have just heard of a rollout."""
        names = [f'node-{index}' for index in range(targets)]
        nodes = {
            name: Rollouts.from_config(name, Random(f'{seed}{name}'), 0)
            for name in names
        }
        plan = RolloutPlan(SERVICE, 'r1', 'v1', 'v2', finish_in_s)
        for node in nodes.values():
            node.replace_members(names)
            node.replace_plans({SERVICE: plan}, 0)
        new = names[: targets // 2]
        return cls(nodes, plan, Random(seed), rate, new, names[len(new) :])

    @property
    def standing(self) -> tuple[str, float, str]:
        """Return the state, share and reason as the last node knows them."""
        status = self.nodes[self.old_nodes[-1]].status()[0]
        return (status.state, status.share, status.why)

    @property
    def judges(self) -> list[str]:
        """Return the nodes that evidence was last sent to."""
        return [name for name, _ in self.delivered.most_common(2)]

    def step(self, fault: Fault) -> None:
        """Run the calls and ticks of one short interval."""
        self.now += TICK_S
        count = int(self.rate * TICK_S + self.rng.random())
        for _ in range(count):
            self._call(fault)
        self._deliver_due()
        for name, node in self.nodes.items():
            if name not in self.paused and node.next_at() <= self.now:
                self._carry_out(name, node.tick(self.now))

    def run(self, fault: Fault, until_s: float) -> None:
        """Step until the rollout has ended or the time is over."""
        while self.now < until_s and self.standing[0] == 'moving':
            self.step(fault)

    def put(self, standing: RolloutState) -> None:
        """Spread a standing, as a judge elsewhere would."""
        self._spread(standing.to_fact(fact_name_of(self.plan)))

    def _call(self, fault: Fault) -> None:
        entry = self.nodes[self.old_nodes[-1]]
        share = (entry.shares(SERVICE) or {}).get(self.plan.new, 0)
        is_new = self.rng.random() < share
        name = self.rng.choice(self.new_nodes if is_new else self.old_nodes)
        route = self.rng.choices(ROUTES, ROUTE_WEIGHTS)[0]
        sample = CallSample(
            SERVICE,
            self.plan.new if is_new else self.plan.old,
            f'{name}-1',
            route,
            self.rng.random() >= BASE_FAILED,
            int(self.rng.lognormvariate(BASE_LOG_US, BASE_LOG_SPREAD)),
        )
        self.exposed += is_new
        call = Call(self.now, route, name, is_new, share, self.rng)
        changed = fault(call, sample)
        # A crash ends every call in flight at its target.
        for _ in range(IN_FLIGHT if changed.target_crashed else 1):
            self.nodes[name].record_call(changed, self.now)

    def _carry_out(self, name: str, effects: list[Any]) -> None:
        for effect in effects:
            if isinstance(effect, PutFact):
                self._spread(effect.fact)
            elif isinstance(effect, Send):
                self.delivered[effect.node] += 1
                self.in_flight.append((self.now, effect.node, effect.message))
            else:
                reply = self.platform.answer(effect)
                self.in_flight.append((self.now, name, reply))

    def _spread(self, fact: Any) -> None:
        for name in self.nodes:
            due = self.now + self.rng.uniform(0, GOSSIP_S)
            self.in_flight.append((due, name, FactChanged(fact)))

    def _deliver_due(self) -> None:
        waiting = self.in_flight
        self.in_flight = []
        for entry in waiting:
            due, name, message = entry
            if due > self.now or name in self.paused:
                self.in_flight.append(entry)
            else:
                self._carry_out(name, self._handle(name, message))

    def _handle(self, name: str, message: Any) -> list[Any]:
        node = self.nodes.get(name)
        return [] if node is None else node.handle(message, self.now)
