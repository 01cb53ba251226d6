"""Changes that operators request, and the settings tree each leads to."""

import functools
from collections.abc import Mapping
from typing import Any

import attrs

from daisyline.state.failures import Failure, Reason
from daisyline.state.rollout_plan import PlanState, RolloutPlan
from daisyline.state.settings_edits import Edit, apply_edits
from daisyline.state.settings_history import StoredSettings

MAX_NAMED_EDITS = 4

_ROLLOUTS = 'rollouts'
_STATE = 'state'

Tree = Mapping[str, Any]


@attrs.frozen
class PutTree:
    """Request: put an edited tree in force.

    Attributes:
        tree: The whole checked tree.
        version: The version that the tree was edited from; None replaces
            the stored tree whatever it holds.
    """

    tree: Tree
    version: int | None = None


@attrs.frozen
class SetZone:
    """Request: take a zone out of use or put it back in use.

    Attributes:
        zone: The availability zone.
        state: `in` or `out`.
    """

    zone: str
    state: str


@attrs.frozen
class StartRollout:
    """Request: move a service's traffic to another version.

    Attributes:
        plan: The rollout.
        replace: Whether to replace a rollout of the service that is still
            in progress.
    """

    plan: RolloutPlan
    replace: bool = False


@attrs.frozen
class StopRollout:
    """Request: stop a rollout; its new version gets no more calls."""

    service: str


def base_tree_of(intent: Any, stored: StoredSettings) -> Tree | Failure:
    """Return the tree that the operator's edits start from.

    Returns:
        The stored tree, or that of the version the request names. A failure
        if the history no longer holds that version.
    """
    version = getattr(intent, 'version', None)
    if version is None:
        return stored.tree
    tree = stored.tree_at(version)
    if tree is not None:
        return tree
    return Failure(
        Reason.CONFLICT,
        detail=(
            f'version {version} is no longer in the history; version '
            f'{stored.version} is in force: get a new copy with config show'
        ),
    )


def replaces_stored_tree(intent: Any) -> bool:
    """Return whether a request replaces the tree without building on it."""
    return isinstance(intent, PutTree) and intent.version is None


@functools.singledispatch
def intended_tree(intent: Any, tree: Tree) -> Tree | Failure:
    """Return the tree that a request leads to.

    Args:
        intent: One of the requests of this module.
        tree: The tree that it starts from.

    Returns:
        The new tree, not checked yet. A failure if it can't be made.

    Raises:
        TypeError: If the request is of another kind.
    """
    raise TypeError(intent)


@intended_tree.register
def _put_tree(intent: PutTree, tree: Tree) -> Tree | Failure:
    cluster = tree.get('cluster')
    wanted = intent.tree.get('cluster')
    if cluster is None or cluster == wanted:
        return intent.tree
    detail = f'the tree is for cluster {wanted}, but the platform has {cluster}'
    return Failure(Reason.CONFLICT, detail=detail)


@intended_tree.register
def _set_zone(intent: SetZone, tree: Tree) -> Tree | Failure:
    if intent.zone not in tree['zones']:
        known = ', '.join(tree['zones']) or 'none'
        detail = f'unknown zone {intent.zone}; the settings have {known}'
        return Failure(Reason.NOT_FOUND, detail=detail)
    path = ('zones', intent.zone, _STATE)
    return apply_edits(tree, (Edit(path, new=intent.state),))


@intended_tree.register
def _start_rollout(intent: StartRollout, tree: Tree) -> Tree | Failure:
    plan = intent.plan
    if plan.service not in tree['services']:
        return _unknown_service(plan.service, tree)
    fields = attrs.asdict(plan, filter=attrs.filters.exclude('service'))
    fields[_STATE] = str(plan.state)
    current_rollout = tree[_ROLLOUTS].get(plan.service)
    if current_rollout is not None and current_rollout != fields:
        is_moving = current_rollout.get(_STATE) != PlanState.STOPPED
        has_same_id = current_rollout['id'] == plan.id
        if has_same_id or (is_moving and not intent.replace):
            return _rollout_conflict(plan.service, current_rollout)
    path = (_ROLLOUTS, plan.service)
    return apply_edits(tree, (Edit(path, new=fields),))


@intended_tree.register
def _stop_rollout(intent: StopRollout, tree: Tree) -> Tree | Failure:
    current_rollout = tree[_ROLLOUTS].get(intent.service)
    if current_rollout is None:
        detail = f'no rollout of {intent.service}'
        return Failure(Reason.NOT_FOUND, detail=detail)
    stopped = {**current_rollout, _STATE: str(PlanState.STOPPED)}
    return apply_edits(tree, (Edit((_ROLLOUTS, intent.service), new=stopped),))


@functools.singledispatch
def describe_change(intent: Any, edits: tuple[Edit, ...]) -> str:
    """Return one sentence on a change, which the history stores.

    Args:
        intent: One of the requests of this module.
        edits: The edits that the change makes.

    Raises:
        TypeError: If the request is of another kind.
    """
    raise TypeError(intent)


@describe_change.register
def _describe_put(intent: PutTree, edits: tuple[Edit, ...]) -> str:
    names = [edit.name for edit in edits[:MAX_NAMED_EDITS]]
    more = len(edits) - len(names)
    rest = f' and {more} more' if more else ''
    places = ', '.join(names)
    return f'edit {places}{rest}'


@describe_change.register
def _describe_zone(intent: SetZone, edits: tuple[Edit, ...]) -> str:
    return f'take zone {intent.zone} {intent.state}'


@describe_change.register
def _describe_start(intent: StartRollout, edits: tuple[Edit, ...]) -> str:
    plan = intent.plan
    return (
        f'start rollout {plan.id} of {plan.service} '
        f'from {plan.old} to {plan.new}'
    )


@describe_change.register
def _describe_stop(intent: StopRollout, edits: tuple[Edit, ...]) -> str:
    return f'stop the rollout of {intent.service}'


def _unknown_service(service: str, tree: Tree) -> Failure:
    known = ', '.join(tree['services']) or 'none'
    detail = f'unknown service {service}; the settings have {known}'
    return Failure(Reason.NOT_FOUND, detail=detail)


def _rollout_conflict(
    service: str, current_rollout: Mapping[str, Any]
) -> Failure:
    name, state = (
        current_rollout['id'],
        current_rollout.get(_STATE, PlanState.MOVING),
    )
    return Failure(
        Reason.CONFLICT,
        detail=(
            f'rollout {name} of {service} is {state}: stop it first, '
            'replace it, or give the new one another id'
        ),
    )
