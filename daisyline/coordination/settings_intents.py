"""What operators ask of the settings tree, and the tree that they mean."""

import functools
from collections.abc import Mapping
from typing import Any

import attrs

from daisyline.state.failures import Failure, Reason
from daisyline.state.rollout_plan import PlanState, RolloutPlan
from daisyline.state.settings_edits import Edit, apply_edits
from daisyline.state.settings_history import StoredSettings

MAX_NAMED_PLACES = 4

_ROLLOUTS = 'rollouts'
_STATE = 'state'

Tree = Mapping[str, Any]


@attrs.frozen
class PutTree:
    """Put an edited tree in force.

    Attributes:
        tree: The whole checked tree.
        version: The version that it was edited from; None puts it in place
            of everything that is there now.
    """

    tree: Tree
    version: int | None = None


@attrs.frozen
class SetZone:
    """Take a zone out or in.

    Attributes:
        zone: The availability zone.
        state: `in` or `out`.
    """

    zone: str
    state: str


@attrs.frozen
class StartRollout:
    """Move a service's traffic to another version.

    Attributes:
        plan: What is wanted.
        replace: Whether a rollout that still moves gives way to it.
    """

    plan: RolloutPlan
    replace: bool = False


@attrs.frozen
class StopRollout:
    """Stop a rollout; its new version gets no calls any more."""

    service: str


def base_tree_of(intent: Any, stored: StoredSettings) -> Tree | Failure:
    """Return the tree that the operator had before their eyes."""
    version = getattr(intent, 'version', None)
    if version is None:
        return stored.tree
    tree = stored.tree_at(version)
    if tree is not None:
        return tree
    return Failure(
        Reason.CONFLICT,
        detail=(
            f'version {version} is no longer known, version '
            f'{stored.version} is in force: take a new copy by config show'
        ),
    )


def replaces_all(intent: Any) -> bool:
    """Return whether an intent doesn't build on what is there now."""
    return isinstance(intent, PutTree) and intent.version is None


@functools.singledispatch
def intended_tree(intent: Any, tree: Tree) -> Tree | Failure:
    """Return the tree that an intent makes of another."""
    raise TypeError(intent)


@intended_tree.register
def _put(intent: PutTree, tree: Tree) -> Tree | Failure:
    cluster = tree.get('cluster')
    wanted = intent.tree.get('cluster')
    if cluster is None or cluster == wanted:
        return intent.tree
    detail = f'the tree is for cluster {wanted}, the platform has {cluster}'
    return Failure(Reason.CONFLICT, detail=detail)


@intended_tree.register
def _zone(intent: SetZone, tree: Tree) -> Tree | Failure:
    if intent.zone not in tree['zones']:
        known = ', '.join(tree['zones']) or 'none'
        detail = f'no zone {intent.zone}; the settings have {known}'
        return Failure(Reason.NOT_FOUND, detail=detail)
    path = ('zones', intent.zone, _STATE)
    return apply_edits(tree, (Edit(path, new=intent.state),))


@intended_tree.register
def _start(intent: StartRollout, tree: Tree) -> Tree | Failure:
    plan = intent.plan
    if plan.service not in tree['services']:
        return _no_service(plan.service, tree)
    fields = attrs.asdict(plan, filter=attrs.filters.exclude('service'))
    fields[_STATE] = str(plan.state)
    present = tree[_ROLLOUTS].get(plan.service)
    if present is not None and present != fields:
        moving = present.get(_STATE) != PlanState.STOPPED
        same_id = present['id'] == plan.id
        if same_id or (moving and not intent.replace):
            return _in_the_way(plan.service, present)
    path = (_ROLLOUTS, plan.service)
    return apply_edits(tree, (Edit(path, new=fields),))


@intended_tree.register
def _stop(intent: StopRollout, tree: Tree) -> Tree | Failure:
    present = tree[_ROLLOUTS].get(intent.service)
    if present is None:
        detail = f'no rollout of {intent.service}'
        return Failure(Reason.NOT_FOUND, detail=detail)
    stopped = {**present, _STATE: str(PlanState.STOPPED)}
    return apply_edits(tree, (Edit((_ROLLOUTS, intent.service), new=stopped),))


@functools.singledispatch
def describe_change(intent: Any, edits: tuple[Edit, ...]) -> str:
    """Return what a change does, for the history."""
    raise TypeError(intent)


@describe_change.register
def _put_sentence(intent: PutTree, edits: tuple[Edit, ...]) -> str:
    names = [edit.name for edit in edits[:MAX_NAMED_PLACES]]
    more = len(edits) - len(names)
    rest = f' and {more} more' if more else ''
    places = ', '.join(names)
    return f'edit {places}{rest}'


@describe_change.register
def _zone_sentence(intent: SetZone, edits: tuple[Edit, ...]) -> str:
    return f'take zone {intent.zone} {intent.state}'


@describe_change.register
def _start_sentence(intent: StartRollout, edits: tuple[Edit, ...]) -> str:
    plan = intent.plan
    return (
        f'start rollout {plan.id} of {plan.service} '
        f'from {plan.old} to {plan.new}'
    )


@describe_change.register
def _stop_sentence(intent: StopRollout, edits: tuple[Edit, ...]) -> str:
    return f'stop the rollout of {intent.service}'


def _no_service(service: str, tree: Tree) -> Failure:
    known = ', '.join(tree['services']) or 'none'
    detail = f'no service {service}; the settings have {known}'
    return Failure(Reason.NOT_FOUND, detail=detail)


def _in_the_way(service: str, present: Mapping[str, Any]) -> Failure:
    name, state = present['id'], present.get(_STATE, PlanState.MOVING)
    return Failure(
        Reason.CONFLICT,
        detail=(
            f'rollout {name} of {service} is {state}: stop it first, '
            'replace it, or give the new one another id'
        ),
    )
