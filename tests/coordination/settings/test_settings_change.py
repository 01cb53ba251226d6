"""A change is made exactly once or not at all, despite races and losses."""

from typing import Any

from hypothesis import settings, stateful
from hypothesis import strategies as st

from daisyline.coordination.settings.settings_change import SettingsChange
from daisyline.coordination.settings.settings_intents import (
    PutTree,
    SetZone,
    StartRollout,
    StopRollout,
)
from daisyline.coordination.settings.settings_results import (
    Applied,
    Conflicted,
    InvalidTree,
    Unchanged,
)
from daisyline.state.failures import Failure, Outcome, Reason
from daisyline.state.rollout_plan import RolloutPlan
from daisyline.state.settings import Settings
from daisyline.state.settings_edits import (
    Edit,
    apply_edits,
    canonical,
    edits_between,
    value_at,
)
from daisyline.state.settings_history import StoredSettings
from tests.coordination.settings_platform import (
    GIVE_UP_S,
    Accepted,
    FakeSettingsPlatform,
    carry_out,
    continue_change,
    example_tree,
    make_change,
    platform_with_tree,
    run_change,
)
from tests.support import function_tests

load_tests = function_tests(__name__)

INTENTS = st.one_of(
    st.builds(
        SetZone,
        st.sampled_from(('ghent-a', 'ghent-b', 'gent')),
        st.sampled_from(('in', 'out')),
    ),
    st.builds(
        StartRollout,
        st.builds(
            RolloutPlan,
            st.sampled_from(('docs', 'shop')),
            st.sampled_from(('r1', 'r2')),
            st.just('1'),
            st.sampled_from(('1', '2', '3')),
            st.just(60),
        ),
        st.booleans(),
    ),
    st.builds(StopRollout, st.sampled_from(('docs', 'shop'))),
)


class Operators(stateful.RuleBasedStateMachine):
    """Several operators change the settings concurrently.

    Answers of the platform are lost and its writes are delayed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.platform = platform_with_tree()
        self.running: list[Any] = []
        self.ended: dict[str, SettingsChange] = {}
        self.copies = [(self.platform.version, self.platform.tree)]
        self.now = float(0)

    @stateful.rule(intent=INTENTS)
    def request_change(self, intent: Any) -> None:
        """An operator requests a change."""
        self._begin(intent)

    @stateful.rule(
        pick=st.integers(0, 100),
        service=st.sampled_from(('docs', 'shop')),
        slots=st.integers(0, 3),
    )
    def apply_an_edited_copy(self, pick: int, service: str, slots: int) -> None:
        """An operator applies an edited copy of an earlier version."""
        version, tree = self.copies[pick % len(self.copies)]
        edited = canonical(tree)
        edited['services'].setdefault(service, {'zones': {}})
        edited['services'][service]['slots_per_upstream'] = slots
        self._begin(PutTree(edited, version))

    @stateful.rule(pick=st.integers(0, 100))
    def apply_a_copy_without_a_service(self, pick: int) -> None:
        """An operator applies a copy from which a service was removed."""
        version, tree = self.copies[pick % len(self.copies)]
        edited = canonical(tree)
        edited['services'].pop('shop', None)
        self._begin(PutTree(edited, version))

    @stateful.rule()
    def take_a_copy(self) -> None:
        """An operator takes a copy of the settings."""
        self.copies.append((self.platform.version, self.platform.tree))

    @stateful.precondition(lambda machine: machine.running)
    @stateful.rule(
        pick=st.integers(0, 100),
        fates=st.lists(
            st.sampled_from(('ok', 'ok', 'lost', 'late', 'down')),
            min_size=2,
            max_size=5,
        ),
    )
    def carry_out_effects(self, pick: int, fates: list[str]) -> None:
        """Some effects of one change are carried out."""
        name, change, effects = self.running.pop(pick % len(self.running))
        for fate in fates:
            if effects:
                self.now += 0.4
                effects = carry_out(
                    self.platform, change, effects[0], fate, self.now
                )
        self._record_progress(name, change, effects)

    @stateful.precondition(lambda machine: machine.platform.delayed_writes)
    @stateful.rule()
    def apply_a_delayed_write(self) -> None:
        """A write takes effect long after its change stopped waiting."""
        self.platform.write(self.platform.delayed_writes.pop(0))

    @stateful.invariant()
    def each_change_is_written_at_most_once(self) -> None:
        """No change is written twice."""
        names = [write.change_id for write in self.platform.accepted]
        assert len(names) == len(set(names))

    @stateful.invariant()
    def the_stored_settings_are_valid(self) -> None:
        """The tree stays valid after changes were merged."""
        read = Settings.from_object(
            self.platform.version, self.platform.content
        )
        assert isinstance(read, Settings)

    @stateful.invariant()
    def results_match_the_writes(self) -> None:
        """Changes with result Applied were written, other ones were not.

        A failure with an unknown outcome allows both.
        """
        names = {write.change_id for write in self.platform.accepted}
        for name, change in self.ended.items():
            result = change.result
            if isinstance(result, Applied):
                assert name in names
            elif getattr(result, 'outcome', None) is not Outcome.UNKNOWN:
                assert name not in names

    @stateful.invariant()
    def a_write_changes_no_other_path(self) -> None:
        """A write changes only the paths that its change edits."""
        for write in self.platform.accepted:
            change = self.ended.get(write.change_id)
            result = change.result if change else None
            if isinstance(result, Applied):
                requested = {edit.name for edit in result.edits}
                written = edits_between(write.before, write.after)
                assert {edit.name for edit in written} <= requested
                assert all(_was_seen(write, edit) for edit in result.edits)

    def teardown(self) -> None:
        """Each write starts from the tree of the one before."""
        tree = self.platform.accepted[0].after
        for write in self.platform.accepted[1:]:
            assert write.before == tree
            tree = apply_edits(tree, edits_between(tree, write.after))
        assert tree == self.platform.tree

    def _begin(self, intent: Any) -> None:
        number = len(self.running) + len(self.ended)
        name = f'change-{number}'
        change = make_change(intent, name)
        self.running.append((name, change, change.start()))

    def _record_progress(
        self, name: str, change: SettingsChange, effects: list[Any]
    ) -> None:
        if effects:
            assert change.result is None
            self.running.append((name, change, effects))
        else:
            assert change.result is not None
            self.ended[name] = change


def _was_seen(write: Accepted, edit: Edit) -> bool:
    """Return whether a write replaced the value its operator had seen."""
    return value_at(write.before, edit.path) in (edit.old, edit.new)


def test_changes_are_made_once_under_races_and_lost_answers() -> None:
    stateful.run_state_machine_as_test(
        Operators,
        settings=settings(
            derandomize=True,
            max_examples=120,
            stateful_step_count=40,
            deadline=None,
        ),
    )


def test_a_change_whose_answer_was_lost_is_found_by_its_id(
    settings_platform: FakeSettingsPlatform,
) -> None:
    platform = settings_platform
    change = make_change(SetZone('ghent-a', 'out'))
    effects = carry_out(platform, change, change.start()[0], 'ok', 0)
    effects = carry_out(platform, change, effects[0], 'lost', 0)
    other = make_change(SetZone('ghent-b', 'out'), 'change-2')
    assert isinstance(run_change(platform, other), Applied)
    result = continue_change(platform, change, effects)
    assert result == Applied(platform.version, result.edits, 1)
    assert len(platform.accepted) == 3


def test_concurrent_changes_of_other_parts_are_merged(
    settings_platform: FakeSettingsPlatform,
) -> None:
    platform = settings_platform
    change = make_change(SetZone('ghent-a', 'out'))
    effects = carry_out(platform, change, change.start()[0], 'ok', 0)
    run_change(platform, make_change(SetZone('ghent-b', 'out'), 'change-2'))
    assert isinstance(continue_change(platform, change, effects), Applied)
    states = [zone['state'] for zone in platform.tree['zones'].values()]
    assert states == ['out', 'out']


def test_concurrent_changes_of_one_path_report_a_conflict(
    settings_platform: FakeSettingsPlatform,
) -> None:
    platform = settings_platform
    version = platform.version
    run_change(platform, make_change(SetZone('ghent-a', 'out'), 'change-2'))
    edited = canonical(example_tree())
    edited['zones']['ghent-a']['state'] = 'in'
    result = run_change(platform, make_change(PutTree(edited, version)))
    assert isinstance(result, Conflicted)
    assert result.version == platform.version
    assert [conflict.ours.new for conflict in result.conflicts] == ['in']
    assert [conflict.theirs.new for conflict in result.conflicts] == ['out']


def test_an_old_copy_undoes_nothing_that_came_after_it(
    settings_platform: FakeSettingsPlatform,
) -> None:
    platform = settings_platform
    version = platform.version
    run_change(platform, make_change(SetZone('ghent-a', 'out'), 'change-2'))
    edited = canonical(example_tree())
    edited['defaults']['slots_per_upstream'] = 9
    result = run_change(platform, make_change(PutTree(edited, version)))
    assert isinstance(result, Applied)
    assert platform.tree['zones']['ghent-a']['state'] == 'out'
    assert platform.tree['defaults'] == {'slots_per_upstream': 9}


def test_a_copy_of_a_version_no_longer_in_the_history_is_refused(
    settings_platform: FakeSettingsPlatform,
) -> None:
    platform = settings_platform
    version = platform.version
    for number in range(70):
        state = 'out' if number % 2 else 'in'
        run_change(
            platform, make_change(SetZone('ghent-a', state), f'c{number}')
        )
    result = run_change(platform, make_change(PutTree(example_tree(), version)))
    assert isinstance(result, Failure)
    assert result.reason is Reason.CONFLICT


def test_a_very_large_change_is_stored_without_its_edits(
    settings_platform: FakeSettingsPlatform,
) -> None:
    tree = example_tree()
    tree['tenants'] = {str(number): {'weight': 2} for number in range(50)}
    assert isinstance(
        run_change(settings_platform, make_change(PutTree(tree))), Applied
    )
    assert settings_platform.content['changes'][-1]['edits'] is None


def test_a_copy_of_a_version_that_never_existed_is_refused(
    settings_platform: FakeSettingsPlatform,
) -> None:
    run_change(
        settings_platform, make_change(SetZone('ghent-a', 'out'), 'change-2')
    )
    unknown_copy = make_change(
        PutTree(example_tree(), settings_platform.version - 1)
    )
    result = run_change(settings_platform, unknown_copy)
    assert isinstance(result, Failure)
    assert result.reason is Reason.CONFLICT


def test_a_merge_that_leads_to_an_invalid_tree_is_refused(
    settings_platform: FakeSettingsPlatform,
) -> None:
    plan = RolloutPlan('shop', 'r1', '1', '2', 60)
    change = make_change(StartRollout(plan))
    effects = carry_out(settings_platform, change, change.start()[0], 'ok', 0)
    tree = example_tree()
    tree['services'].pop('shop')
    run_change(settings_platform, make_change(PutTree(tree), 'change-2'))
    result = continue_change(settings_platform, change, effects)
    assert isinstance(result, InvalidTree)
    assert result.findings[0].path == 'rollouts.shop'


def test_a_change_whose_id_left_the_history_is_reported_as_unknown(
    settings_platform: FakeSettingsPlatform,
) -> None:
    platform = settings_platform
    change = make_change(SetZone('ghent-b', 'out'))
    effects = carry_out(platform, change, change.start()[0], 'ok', 0)
    effects = carry_out(platform, change, effects[0], 'lost', 0)
    for number in range(70):
        state = 'out' if number % 2 else 'in'
        run_change(
            platform, make_change(SetZone('ghent-a', state), f'c{number}')
        )
    result = continue_change(platform, change, effects)
    assert isinstance(result, Failure)
    assert result.outcome is Outcome.UNKNOWN


def test_a_platform_that_stays_down_ends_the_change(
    settings_platform: FakeSettingsPlatform,
) -> None:
    platform = settings_platform
    change = make_change(SetZone('ghent-a', 'out'))
    effects, now = change.start(), float(0)
    while effects:
        now += 0.5
        effects = carry_out(platform, change, effects[0], 'down', now)
    assert isinstance(change.result, Failure)
    assert change.result.reason is Reason.PLATFORM_DOWN
    assert change.result.outcome is Outcome.NOT_RUN
    assert GIVE_UP_S <= now <= GIVE_UP_S + 1


def test_invalid_and_unchanged_trees_are_not_written(
    settings_platform: FakeSettingsPlatform,
) -> None:
    platform = settings_platform
    version = platform.version
    bad = {**example_tree(), 'defaults': {'slots_per_upstream': 0}}
    assert isinstance(
        run_change(platform, make_change(PutTree(bad))), InvalidTree
    )
    assert isinstance(
        run_change(platform, make_change(PutTree(example_tree()))), Unchanged
    )
    other = {**example_tree(), 'cluster': 'another'}
    assert isinstance(
        run_change(platform, make_change(PutTree(other))), Failure
    )
    assert platform.version == version


def test_an_invalid_object_is_replaced_only_by_a_whole_tree(
    settings_platform: FakeSettingsPlatform,
) -> None:
    platform = settings_platform
    platform.content = {'tree': {'cluster': 7}}
    zone = run_change(platform, make_change(SetZone('ghent-a', 'out')))
    assert isinstance(zone, InvalidTree)
    assert zone.stored
    assert isinstance(
        run_change(platform, make_change(PutTree(example_tree()))), Applied
    )
    assert StoredSettings.from_value(1, platform.content).tree == canonical(
        example_tree()
    )
