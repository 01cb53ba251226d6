"""Whatever fails in whatever order, no two reports and no two holders clash.

The API of the rig checks each call when it is executed. Half of the machines
run without fencing; there, calls are delayed by less than the nodes allow for.
"""

import random

import attrs
from hypothesis import settings as run_settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from tests.coordination.duties.rig import CONFIG, DutyFleet
from tests.support import function_tests

load_tests = function_tests(__name__)

# Reports are due so soon that candidates act as soon as a lease allows it.
HASTY = attrs.evolve(CONFIG, window_s=1, late_s=1)
NAMES = ('a', 'b', 'c', 'd')
# A fifth of the time until a report is due, less what a write may take.
UNFENCED_DELAY_S = 0.5
RECOVERY_S = 60.0
STEP_S = 0.7
_NAMES = st.sampled_from(NAMES)
_SECONDS = st.floats(0.05, 14)


class DutyMachine(RuleBasedStateMachine):
    """Nodes, the store and the API under faults, in any order."""

    fleet: DutyFleet

    @initialize(
        seed=st.integers(0, 2**32),
        is_fenced=st.booleans(),
        is_hasty=st.booleans(),
    )
    def begin(self, seed: int, is_fenced: bool, is_hasty: bool) -> None:
        """Start all nodes and wait for the first holder."""
        config = HASTY if is_hasty else CONFIG
        config = attrs.evolve(config, is_fenced=is_fenced)
        self.fleet = DutyFleet(rng=random.Random(seed), config=config)
        self.fleet.api.is_fenced = is_fenced
        for name in NAMES:
            self.fleet.start(name)
        self.fleet.run(15)

    @rule(seconds=_SECONDS)
    def let_time_pass(self, seconds: float) -> None:
        """Let time pass while calls run at all nodes."""
        self._pass_time(seconds)

    @rule(name=_NAMES, seconds=_SECONDS)
    def restart(self, name: str, seconds: float) -> None:
        """Kill a node and start it again, at once or later."""
        self.fleet.kill(name)
        self._pass_time(seconds)
        self.fleet.start(name)

    @rule(seconds=_SECONDS)
    def kill_holder(self, seconds: float) -> None:
        """Kill the holders and start them again."""
        for name in self.fleet.holders():
            self.restart(name, seconds)

    @rule(
        seconds=_SECONDS,
        is_cut=st.booleans(),
        is_reported=st.booleans(),
        ticks_first=st.booleans(),
    )
    def suspend_holder(
        self, seconds: float, is_cut: bool, is_reported: bool, ticks_first: bool
    ) -> None:
        """Suspend the holders, which may not notice it, nor get messages."""
        suspended = self.fleet.holders()
        for name in suspended:
            self.fleet.suspend(name)
            self.fleet.cut(name, is_cut=is_cut)
        self._pass_time(seconds)
        for name in suspended:
            self.fleet.resume(
                name, is_reported=is_reported, ticks_first=ticks_first
            )

    @rule(name=_NAMES, is_cut=st.booleans(), seconds=_SECONDS)
    def cut(self, name: str, is_cut: bool, seconds: float) -> None:
        """Cut a node off from the others, or end that."""
        self.fleet.cut(name, is_cut=is_cut)
        self._pass_time(seconds)

    @rule(seconds=_SECONDS)
    def refuse_holder(self, seconds: float) -> None:
        """Let the store reject the holder and serve the other nodes."""
        self.fleet.refused = set(self.fleet.holders())
        self._pass_time(seconds)
        self.fleet.refused = set()

    @rule(
        delay_s=st.sampled_from((0.02, 0.5, 5.0)),
        lost=st.sampled_from((0, 0.3, 1)),
        seconds=_SECONDS,
    )
    def disturb_store(
        self, delay_s: float, lost: float, seconds: float
    ) -> None:
        """Delay calls on the store, also those that got no reply."""
        self.fleet.store_delay_s = delay_s
        self.fleet.lost_replies = lost
        self._pass_time(seconds)

    @rule(
        delay_s=st.sampled_from((0.02, 0.5, 6.0)),
        lost=st.sampled_from((0, 0.3, 1)),
        seconds=_SECONDS,
    )
    def disturb_api(self, delay_s: float, lost: float, seconds: float) -> None:
        """Delay reports, also those that got no answer."""
        if not self.fleet.api.is_fenced:
            delay_s = min(delay_s, UNFENCED_DELAY_S)
        self.fleet.api_delay_s = delay_s
        self.fleet.lost_answers = lost
        self._pass_time(seconds)

    @precondition(lambda machine: machine._is_quiet())
    @rule()
    def delete_object(self) -> None:
        """Delete the object while no write is in flight."""
        self.fleet.store.version = 0
        self.fleet.store.content = None

    @invariant()
    def tokens_only_grow(self) -> None:
        """Compare the tokens of the accepted calls."""
        if hasattr(self, 'fleet') and self.fleet.api.is_fenced:
            tokens = [token for _, _, token, _ in self.fleet.api.accepted]
            assert tokens == sorted(tokens)

    def teardown(self) -> None:
        """End all faults; then windows are reported again."""
        if not hasattr(self, 'fleet'):
            return
        fleet = self.fleet
        fleet.refused = set()
        fleet.store_delay_s = 0.02
        fleet.api_delay_s = 0.02
        fleet.lost_replies = 0
        fleet.lost_answers = 0
        for name, node in fleet.nodes.items():
            fleet.resume(name)
            fleet.cut(name, is_cut=False)
            if not node.is_running:
                fleet.start(name)
        fleet.run(RECOVERY_S)
        last = fleet.config.window_of(fleet.now - CONFIG.late_s) - 1
        assert last in fleet.api.reports, 'windows are reported again'
        assert len(fleet.holders()) == 1

    def _pass_time(self, seconds: float) -> None:
        end = self.fleet.now + seconds
        while self.fleet.now < end:
            for name in NAMES:
                self.fleet.count(name)
            self.fleet.run(min(STEP_S, end - self.fleet.now))

    def _is_quiet(self) -> bool:
        fleet = self.fleet
        is_cut = any(node.is_cut for node in fleet.nodes.values())
        return not is_cut and not fleet.pending_writes


def test_no_order_of_failures_makes_reports_or_holders_clash() -> None:
    # Guards against a second count for a window, a token with two holders and
    # a holder that acts on a lease that has ended.
    run_state_machine_as_test(
        DutyMachine,
        settings=run_settings(
            max_examples=60,
            stateful_step_count=40,
            deadline=None,
            derandomize=True,
        ),
    )
