"""Nodes of one service in one process, with simulated calls and gossip."""

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
from daisyline.coordination.membership.fact_events import FactChanged, PutFact
from daisyline.coordination.rollouts.rollout import Rollouts
from daisyline.state.rollout_plan import RolloutPlan
from daisyline.state.rollout_state import CallSample, RolloutState, fact_name_of

SERVICE = 'catalogue'
TICK_S = 0.1
MAX_GOSSIP_DELAY_S = 0.5
ROUTES = ('/list', '/item', '/stock', '/price', '/sheet')
ROUTE_WEIGHTS = (40, 30, 15, 10, 5)
CALLS_IN_FLIGHT = 9
BASE_FAILURE_FRACTION = 0.001
# Parameters of the log-normal service time, in the logarithm of microseconds.
BASE_LOG_US = 9.2
BASE_LOG_SPREAD = 0.4

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409


@attrs.frozen
class Call:
    """A call whose outcome a fault may change.

    Attributes:
        now: Virtual time, in seconds.
        route: The path of the call.
        node: The node beside the target that runs the call.
        is_new: Whether the target has the new version.
        new_load: The new version's share of calls, 0 to 1.
        rng: Source of random numbers for the fault.
    """

    now: float
    route: str
    node: str
    is_new: bool
    new_load: float
    rng: Random


# Returns the sample of a call, changed if the fault affects the call.
Fault = Callable[[Call, CallSample], CallSample]


@attrs.define
class Platform:
    """An object store with conditional writes and injectable faults.

    Attributes:
        stored: Version and content by the object's name.
        is_down: Whether every request fails.
        loses_replies: Whether writes take effect but their replies are lost.
        revision: Version of the last write.
        writes: Number of writes that took effect.
    """

    stored: dict[str, tuple[int, Any]] = attrs.field(factory=dict)
    is_down: bool = False
    loses_replies: bool = False
    revision: int = 0
    writes: int = 0

    def answer(self, effect: PlatformRead | PlatformWrite) -> PlatformReply:
        """Carry out a read or a write and return its reply.

        The status of the reply is 0 if the platform is down or the reply is
        lost.
        """
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
        status = 0 if self.loses_replies else _OK
        return PlatformReply(effect.token, status, self.revision)


@attrs.define
class Fleet:
    """Nodes of one service, half of them beside targets of a new version.

    Attributes:
        nodes: The decisions of each node by its name.
        plan: The rollout.
        rng: Source of all random numbers of the fleet.
        rate: Calls per second of the service.
        new_nodes: Nodes beside targets of the new version.
        old_nodes: Nodes beside targets of the old version.
        platform: The object store that the nodes share.
        now: Virtual time, in seconds.
        paused_nodes: Nodes that neither tick nor receive messages.
        messages_to: Number of evidence messages by receiving node.
        calls_to_new: Number of calls sent to the new version.
        in_flight: Undelivered messages, each with the time at which it is
            delivered and the name of its receiver.
    """

    nodes: dict[str, Rollouts]
    plan: RolloutPlan
    rng: Random
    rate: float
    new_nodes: list[str]
    old_nodes: list[str]
    platform: Platform = attrs.field(factory=Platform)
    now: float = 0
    paused_nodes: set[str] = attrs.field(factory=set)
    messages_to: Counter[str] = attrs.field(factory=Counter)
    calls_to_new: int = 0
    in_flight: list[tuple[float, str, Any]] = attrs.field(factory=list)

    @classmethod
    def from_config(
        cls, seed: int, rate: float, targets: int = 6, finish_in_s: float = 120
    ) -> 'Fleet':
        """Build nodes that have just received the plan of a rollout.

        Args:
            seed: Seed of all random numbers.
            rate: Calls per second of the service.
            targets: Number of targets, half of them of the new version.
            finish_in_s: Time within which the rollout has to finish, in
                seconds.
        """
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
    def last_status(self) -> tuple[str, float, str]:
        """Return state, share and reason of the rollout at the last node."""
        status = self.nodes[self.old_nodes[-1]].status()[0]
        return (status.state, status.share, status.why)

    @property
    def evidence_receivers(self) -> list[str]:
        """Return the two nodes that were sent the most evidence messages."""
        return [name for name, _ in self.messages_to.most_common(2)]

    def step(self, fault: Fault) -> None:
        """Run the calls, deliveries and ticks of one interval of `TICK_S`."""
        self.now += TICK_S
        count = int(self.rate * TICK_S + self.rng.random())
        for _ in range(count):
            self._call(fault)
        self._deliver_ready()
        for name, node in self.nodes.items():
            if name not in self.paused_nodes and node.next_at() <= self.now:
                self._carry_out(name, node.tick(self.now))

    def run(self, fault: Fault, until_s: float) -> None:
        """Step until the rollout has ended or the virtual time is reached."""
        while self.now < until_s and self.last_status[0] == 'moving':
            self.step(fault)

    def broadcast_state(self, state: RolloutState) -> None:
        """Broadcast a rollout state as if another judge had decided it."""
        self._broadcast(state.to_fact(fact_name_of(self.plan)))

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
            self.rng.random() >= BASE_FAILURE_FRACTION,
            int(self.rng.lognormvariate(BASE_LOG_US, BASE_LOG_SPREAD)),
        )
        self.calls_to_new += is_new
        call = Call(self.now, route, name, is_new, share, self.rng)
        changed = fault(call, sample)
        # A crash ends every call in flight at its target.
        for _ in range(CALLS_IN_FLIGHT if changed.target_crashed else 1):
            self.nodes[name].record_call(changed, self.now)

    def _carry_out(self, name: str, effects: list[Any]) -> None:
        for effect in effects:
            if isinstance(effect, PutFact):
                self._broadcast(effect.fact)
            elif isinstance(effect, Send):
                self.messages_to[effect.node] += 1
                self.in_flight.append((self.now, effect.node, effect.message))
            else:
                reply = self.platform.answer(effect)
                self.in_flight.append((self.now, name, reply))

    def _broadcast(self, fact: Any) -> None:
        for name in self.nodes:
            deliver_at = self.now + self.rng.uniform(0, MAX_GOSSIP_DELAY_S)
            self.in_flight.append((deliver_at, name, FactChanged(fact)))

    def _deliver_ready(self) -> None:
        waiting = self.in_flight
        self.in_flight = []
        for entry in waiting:
            deliver_at, name, message = entry
            if deliver_at > self.now or name in self.paused_nodes:
                self.in_flight.append(entry)
            else:
                self._carry_out(name, self._handle(name, message))

    def _handle(self, name: str, message: Any) -> list[Any]:
        node = self.nodes.get(name)
        return [] if node is None else node.handle(message, self.now)
