"""A change is made once or not at all, whoever races and what is lost."""

from typing import Any

from hypothesis import settings, stateful
from hypothesis import strategies as st

from daisyline.coordination.settings_change import SettingsChange
from daisyline.coordination.settings_intents import (
    PutTree,
    SetZone,
    StartRollout,
    StopRollout,
)
from daisyline.coordination.settings_results import (
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
from tests.coordination.settings_store import (
    GIVE_UP_S,
    Accepted,
    Store,
    change_of,
    example_tree,
    finish,
    finish_from,
    step,
    store_with_tree,
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
    """Some operators change the settings at once on a frail platform."""

    def __init__(self) -> None:
        super().__init__()
        self.store = store_with_tree()
        self.running: list[Any] = []
        self.ended: dict[str, SettingsChange] = {}
        self.seen = [(self.store.version, self.store.tree)]
        self.now = float(0)

    @stateful.rule(intent=INTENTS)
    def ask(self, intent: Any) -> None:
        """An operator asks for a change."""
        self._begin(intent)

    @stateful.rule(
        pick=st.integers(0, 100),
        service=st.sampled_from(('docs', 'shop')),
        slots=st.integers(0, 3),
    )
    def put_an_edited_copy(self, pick: int, service: str, slots: int) -> None:
        """An operator puts back a copy taken some time ago."""
        version, tree = self.seen[pick % len(self.seen)]
        edited = canonical(tree)
        edited['services'].setdefault(service, {'zones': {}})
        edited['services'][service]['slots_per_upstream'] = slots
        self._begin(PutTree(edited, version))

    @stateful.rule(pick=st.integers(0, 100))
    def put_a_copy_without_a_service(self, pick: int) -> None:
        """An operator puts back a copy from which a service is gone."""
        version, tree = self.seen[pick % len(self.seen)]
        edited = canonical(tree)
        edited['services'].pop('shop', None)
        self._begin(PutTree(edited, version))

    @stateful.rule()
    def show(self) -> None:
        """An operator takes a copy."""
        self.seen.append((self.store.version, self.store.tree))

    @stateful.precondition(lambda machine: machine.running)
    @stateful.rule(
        pick=st.integers(0, 100),
        fates=st.lists(
            st.sampled_from(('ok', 'ok', 'lost', 'late', 'down')),
            min_size=2,
            max_size=5,
        ),
    )
    def go_on(self, pick: int, fates: list[str]) -> None:
        """One change goes some steps further."""
        name, change, effects = self.running.pop(pick % len(self.running))
        for fate in fates:
            if effects:
                self.now += 0.4
                effects = step(self.store, change, effects[0], fate, self.now)
        self._note(name, change, effects)

    @stateful.precondition(lambda machine: machine.store.late)
    @stateful.rule()
    def let_a_late_write_arrive(self) -> None:
        """A write takes effect long after it was given up."""
        self.store.write(self.store.late.pop(0))

    @stateful.invariant()
    def each_change_is_written_at_most_once(self) -> None:
        """No change is made twice."""
        names = [write.change_id for write in self.store.accepted]
        assert len(names) == len(set(names))

    @stateful.invariant()
    def the_stored_settings_have_no_mistakes(self) -> None:
        """Merged changes make a checked tree."""
        read = Settings.from_object(self.store.version, self.store.content)
        assert isinstance(read, Settings)

    @stateful.invariant()
    def what_was_said_is_true(self) -> None:
        """Accepted is stored, refused is not."""
        names = {write.change_id for write in self.store.accepted}
        for name, change in self.ended.items():
            result = change.result
            if isinstance(result, Applied):
                assert name in names
            elif getattr(result, 'outcome', None) is not Outcome.UNKNOWN:
                assert name not in names

    @stateful.invariant()
    def a_write_changes_no_other_place(self) -> None:
        """A merge keeps to the places of its change."""
        for write in self.store.accepted:
            change = self.ended.get(write.change_id)
            result = change.result if change else None
            if isinstance(result, Applied):
                meant = {edit.name for edit in result.edits}
                made = edits_between(write.before, write.after)
                assert {edit.name for edit in made} <= meant
                assert all(_was_seen(write, edit) for edit in result.edits)

    def teardown(self) -> None:
        """Nothing that was accepted is lost but to a later change."""
        tree = self.store.accepted[0].after
        for write in self.store.accepted[1:]:
            assert write.before == tree
            tree = apply_edits(tree, edits_between(tree, write.after))
        assert tree == self.store.tree

    def _begin(self, intent: Any) -> None:
        number = len(self.running) + len(self.ended)
        name = f'change-{number}'
        change = change_of(intent, name)
        self.running.append((name, change, change.start()))

    def _note(
        self, name: str, change: SettingsChange, effects: list[Any]
    ) -> None:
        if effects:
            assert change.result is None
            self.running.append((name, change, effects))
        else:
            assert change.result is not None
            self.ended[name] = change


def _was_seen(write: Accepted, edit: Edit) -> bool:
    """Return whether a write replaced what its operator had seen."""
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
    settings_store: Store,
) -> None:
    store = settings_store
    change = change_of(SetZone('ghent-a', 'out'))
    effects = step(store, change, change.start()[0], 'ok', 0)
    effects = step(store, change, effects[0], 'lost', 0)
    other = change_of(SetZone('ghent-b', 'out'), 'change-2')
    assert isinstance(finish(store, other), Applied)
    result = finish_from(store, change, effects)
    assert result == Applied(store.version, result.edits, 1)
    assert len(store.accepted) == 3


def test_a_race_on_another_part_is_merged(
    settings_store: Store,
) -> None:
    store = settings_store
    change = change_of(SetZone('ghent-a', 'out'))
    effects = step(store, change, change.start()[0], 'ok', 0)
    finish(store, change_of(SetZone('ghent-b', 'out'), 'change-2'))
    assert isinstance(finish_from(store, change, effects), Applied)
    states = [zone['state'] for zone in store.tree['zones'].values()]
    assert states == ['out', 'out']


def test_a_race_on_the_same_place_is_refused_with_both_sides(
    settings_store: Store,
) -> None:
    store = settings_store
    version = store.version
    finish(store, change_of(SetZone('ghent-a', 'out'), 'change-2'))
    edited = canonical(example_tree())
    edited['zones']['ghent-a']['state'] = 'in'
    result = finish(store, change_of(PutTree(edited, version)))
    assert isinstance(result, Conflicted)
    assert result.version == store.version
    assert [conflict.ours.new for conflict in result.conflicts] == ['in']
    assert [conflict.theirs.new for conflict in result.conflicts] == ['out']


def test_an_old_copy_undoes_nothing_that_came_after_it(
    settings_store: Store,
) -> None:
    store = settings_store
    version = store.version
    finish(store, change_of(SetZone('ghent-a', 'out'), 'change-2'))
    edited = canonical(example_tree())
    edited['defaults']['slots_per_upstream'] = 9
    result = finish(store, change_of(PutTree(edited, version)))
    assert isinstance(result, Applied)
    assert store.tree['zones']['ghent-a']['state'] == 'out'
    assert store.tree['defaults'] == {'slots_per_upstream': 9}


def test_a_copy_older_than_the_history_is_refused(
    settings_store: Store,
) -> None:
    store = settings_store
    version = store.version
    for number in range(70):
        state = 'out' if number % 2 else 'in'
        finish(store, change_of(SetZone('ghent-a', state), f'c{number}'))
    result = finish(store, change_of(PutTree(example_tree(), version)))
    assert isinstance(result, Failure)
    assert result.reason is Reason.CONFLICT


def test_a_very_large_change_is_kept_without_its_edits(
    settings_store: Store,
) -> None:
    tree = example_tree()
    tree['tenants'] = {str(number): {'weight': 2} for number in range(50)}
    assert isinstance(finish(settings_store, change_of(PutTree(tree))), Applied)
    assert settings_store.content['changes'][-1]['edits'] is None


def test_a_copy_of_a_version_that_never_was_is_refused(
    settings_store: Store,
) -> None:
    finish(settings_store, change_of(SetZone('ghent-a', 'out'), 'change-2'))
    stranger = change_of(PutTree(example_tree(), settings_store.version - 1))
    result = finish(settings_store, stranger)
    assert isinstance(result, Failure)
    assert result.reason is Reason.CONFLICT


def test_a_merge_that_makes_a_mistake_is_refused(
    settings_store: Store,
) -> None:
    plan = RolloutPlan('shop', 'r1', '1', '2', 60)
    change = change_of(StartRollout(plan))
    effects = step(settings_store, change, change.start()[0], 'ok', 0)
    tree = example_tree()
    tree['services'].pop('shop')
    finish(settings_store, change_of(PutTree(tree), 'change-2'))
    result = finish_from(settings_store, change, effects)
    assert isinstance(result, InvalidTree)
    assert result.findings[0].path == 'rollouts.shop'


def test_an_id_that_left_the_history_is_reported_as_unknown(
    settings_store: Store,
) -> None:
    store = settings_store
    change = change_of(SetZone('ghent-b', 'out'))
    effects = step(store, change, change.start()[0], 'ok', 0)
    effects = step(store, change, effects[0], 'lost', 0)
    for number in range(70):
        state = 'out' if number % 2 else 'in'
        finish(store, change_of(SetZone('ghent-a', state), f'c{number}'))
    result = finish_from(store, change, effects)
    assert isinstance(result, Failure)
    assert result.outcome is Outcome.UNKNOWN


def test_a_platform_that_stays_down_ends_the_change(
    settings_store: Store,
) -> None:
    store = settings_store
    change = change_of(SetZone('ghent-a', 'out'))
    effects, now = change.start(), float(0)
    while effects:
        now += 0.5
        effects = step(store, change, effects[0], 'down', now)
    assert isinstance(change.result, Failure)
    assert change.result.reason is Reason.PLATFORM_DOWN
    assert change.result.outcome is Outcome.NOT_RUN
    assert GIVE_UP_S <= now <= GIVE_UP_S + 1


def test_mistakes_and_what_holds_already_write_nothing(
    settings_store: Store,
) -> None:
    store = settings_store
    version = store.version
    bad = {**example_tree(), 'defaults': {'slots_per_upstream': 0}}
    assert isinstance(finish(store, change_of(PutTree(bad))), InvalidTree)
    assert isinstance(
        finish(store, change_of(PutTree(example_tree()))), Unchanged
    )
    other = {**example_tree(), 'cluster': 'another'}
    assert isinstance(finish(store, change_of(PutTree(other))), Failure)
    assert store.version == version


def test_a_broken_object_is_replaced_only_by_a_whole_tree(
    settings_store: Store,
) -> None:
    store = settings_store
    store.content = {'tree': {'cluster': 7}}
    zone = finish(store, change_of(SetZone('ghent-a', 'out')))
    assert isinstance(zone, InvalidTree)
    assert zone.stored
    assert isinstance(
        finish(store, change_of(PutTree(example_tree()))), Applied
    )
    assert StoredSettings.from_value(1, store.content).tree == canonical(
        example_tree()
    )
