"""The views of all nodes converge within a bound after faults end."""

from typing import Any

from hypothesis import settings as run_settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from daisyline.coordination.membership.fleet import Fleet
from daisyline.state.facts import Fact
from daisyline.state.targets import Phase, Target
from tests.coordination.pump import ZONES, Pump, make_pump, settings_value
from tests.support import function_tests

load_tests = function_tests(__name__)

SIZE = 8
AGREEMENT_BOUND_S = 120
_NUMBERS = st.integers(0, SIZE - 1)


class FleetMachine(RuleBasedStateMachine):
    """Nodes under faults; the pump asserts that versions never decrease."""

    pump: Pump
    known_version = 0

    @initialize(seed=st.integers(0, 1000))
    def begin(self, seed: int) -> None:
        """Start all nodes."""
        self.pump = make_pump(seed)
        self._write(settings_value())
        for number in range(SIZE):
            self.pump.start(number)

    @rule(number=_NUMBERS, peer=_NUMBERS)
    def restart(self, number: int, peer: int) -> None:
        """Start a node, after killing it if it runs."""
        self.pump.start(number, [peer])

    @rule(number=_NUMBERS)
    def crash(self, number: int) -> None:
        """Kill a node."""
        self.pump.stop(f'n{number}')

    @rule(number=_NUMBERS)
    def leave(self, number: int) -> None:
        """Stop a node after it has left the fleet."""
        for name, fleet in self._chosen(number):
            self.pump.carry_out(name, fleet.leave(self.pump.now))
            self.pump.stop(name)

    @rule(number=_NUMBERS)
    def freeze(self, number: int) -> None:
        """Suspend the process of a node."""
        self.pump.freeze(f'n{number}')

    @rule(number=_NUMBERS)
    def thaw(self, number: int) -> None:
        """Resume the process of a node."""
        self.pump.thaw(f'n{number}')

    @rule(zone=st.sampled_from([zone for zone, _ in ZONES]))
    def cut_zone_off(self, zone: str) -> None:
        """Drop all messages between a zone and the others."""
        nodes = self.pump.nodes

        def is_cut(sender: str, receiver: str) -> bool:
            ends = (
                nodes[sender].fleet.own_member,
                nodes[receiver].fleet.own_member,
            )
            return sum(member.zone == zone for member in ends) == 1

        self.pump.is_cut = is_cut

    @rule()
    def join_zones(self) -> None:
        """End the partition."""
        self.pump.is_cut = lambda *_ends: False

    @rule(share=st.sampled_from([0, 0.1, 0.5]), twice=st.sampled_from([0, 0.3]))
    def degrade_network(self, share: float, twice: float) -> None:
        """Lose, delay and duplicate messages."""
        self.pump.loss = share
        self.pump.duplicates = twice
        self.pump.delay_s = (0.001, 0.001 + share)

    @rule(is_up=st.booleans(), share=st.sampled_from([0, 0.5]))
    def degrade_platform(self, is_up: bool, share: float) -> None:
        """Take the platform down, or let it lose answers and list old data."""
        self.pump.platform.up = is_up
        self.pump.platform.lost_reply_share = share
        self.pump.platform.stale_read_share = share

    @rule(number=st.integers(1000, 1009))
    def change_settings(self, number: int) -> None:
        """Write settings without a version condition."""
        self._write(settings_value(defaults={'deadline_ms': number}))

    @rule()
    def delete_settings(self) -> None:
        """Delete the settings; the last ones stay in force."""
        self.pump.platform.put('settings', 'tree', None)

    @rule(number=_NUMBERS, phase=st.sampled_from(Phase))
    def announce(self, number: int, phase: Phase) -> None:
        """Change the target beside a node."""
        target = Target('docs', '1', 'i', '127.0.0.1', 80, phase)
        for name, fleet in self._chosen(number):
            self.pump.carry_out(name, fleet.set_target(target, self.pump.now))

    @rule(number=_NUMBERS, rank=st.integers(0, 5))
    def put_fact(self, number: int, rank: int) -> None:
        """Spread a fact."""
        fact = Fact('verdict', 'docs', rank, (number,))
        for name, fleet in self._chosen(number):
            self.pump.carry_out(name, fleet.put_fact(fact, self.pump.now))

    @rule(seconds=st.sampled_from([0.1, 1, 5, 40]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.pump.run(seconds)

    @invariant()
    def a_node_is_its_own_member(self) -> None:
        """Assert that no node removes itself from its own view."""
        if hasattr(self, 'pump'):
            for name, fleet in self.pump.live().items():
                assert name in fleet.members

    def teardown(self) -> None:
        """End all faults; all views must converge within the bound."""
        if not hasattr(self, 'pump'):
            return
        self.join_zones()
        self.degrade_network(0, 0)
        self.degrade_platform(is_up=True, share=0)
        for name, node in self.pump.nodes.items():
            if node.frozen and not node.stopped:
                self.pump.thaw(name)
        self.pump.run(0)
        self.pump.run_until(self._agrees, AGREEMENT_BOUND_S)

    def _chosen(self, number: int) -> list[tuple[str, Fleet]]:
        """Return a node by its number; empty if it isn't running."""
        live = self.pump.live().items()
        return [entry for entry in live if entry[0] == f'n{number}']

    def _write(self, content: Any) -> None:
        self.pump.platform.put('settings', 'tree', content)

    def _agrees(self) -> bool:
        live = self.pump.live()
        held, _ = self.pump.platform.stored.get(('settings', 'tree'), (0, None))
        newest = max(
            (fleet.settings.version for fleet in live.values()), default=0
        )
        wanted = _view(live, max(held, newest))
        return all(_held(fleet) == wanted for fleet in live.values())


def _view(live: dict[str, Fleet], version: int) -> tuple[Any, ...]:
    """Return the view that each live node has to converge to."""
    members = {name: fleet.own_member for name, fleet in live.items()}
    facts = [fact for fleet in live.values() for fact in fleet.facts.values()]
    newest = {fact.key: fact for fact in sorted(facts, key=_rank)}
    return members, version, dict.fromkeys(live, version), newest


def _held(fleet: Fleet) -> tuple[Any, ...]:
    return (
        dict(fleet.members),
        fleet.settings.version,
        dict(fleet.settings_versions),
        dict(fleet.facts),
    )


def _rank(fact: Fact) -> tuple[int, str]:
    return (fact.rank, repr(fact.payload))


def test_the_fleet_converges_after_any_faults() -> None:
    run_state_machine_as_test(
        FleetMachine,
        settings=run_settings(
            derandomize=True,
            max_examples=30,
            stateful_step_count=25,
            deadline=None,
        ),
    )
