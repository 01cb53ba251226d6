"""Translates daisyline's kinds of objects to and from the platform's."""

import functools
import types
from collections.abc import Mapping
from typing import Any

import attrs

from daisyline.coordination.duties import duty_record
from daisyline.coordination.membership import seeds
from daisyline.coordination.rollouts import rollout_record
from daisyline.coordination.settings import order_reading, reader_role
from daisyline.platform.boot import Boot
from daisyline.platform.manifest import manifest_number, settings_tree
from daisyline.state.departures import DEPARTURES_KIND
from daisyline.state.limits import PERCENT
from daisyline.state.rollout_plan import FULL_PERCENT
from daisyline.state.rollout_state import Stage
from daisyline.state.settings_history import EDITION

_STATE_OF_STAGE = types.MappingProxyType(
    {
        str(Stage.MOVING): 'running',
        str(Stage.DONE): 'completed',
        str(Stage.ROLLED_BACK): 'rolled_back',
    }
)
_STAGE_OF_STATE = types.MappingProxyType(
    {state: stage for stage, state in _STATE_OF_STAGE.items()}
)


@attrs.frozen
class StoredObject:
    """An object in the platform's store.

    Attributes:
        name: The object's name.
        revision: The store's revision at the object's last change.
        created: The store's revision at the object's creation; 0 if unknown.
        spec: The part that the object's owner writes.
        status: The part that others write about it.
    """

    name: str
    revision: int
    created: int
    spec: Any
    status: Any

    @classmethod
    def from_fields(cls, fields: Any) -> 'StoredObject | None':
        """Parse an object; None if it is malformed."""
        meta = fields.get('metadata') if isinstance(fields, dict) else None
        if not isinstance(meta, dict) or not isinstance(meta.get('name'), str):
            return None
        revision, created = meta.get('rev'), meta.get('createdRev')
        if not isinstance(revision, int):
            return None
        return cls(
            name=meta['name'],
            revision=revision,
            created=created if isinstance(created, int) else 0,
            spec=fields.get('spec'),
            status=fields.get('status'),
        )


@attrs.frozen
class Manifests:
    """The manifest, which is translated to the settings tree."""

    boot: Boot
    path: str = 'config'


@attrs.frozen
class Evacuations:
    """Orders to send no calls to the targets of a zone."""

    path: str = 'evacuations'


@attrs.frozen
class RolloutOrders:
    """Orders to roll a service out to another version."""

    boot: Boot
    path: str = 'rollouts'


@attrs.frozen
class RolloutRecords:
    """Records of the progress of rollouts, in the status of the orders."""

    path: str = 'rollouts'


@attrs.frozen
class SeedLists:
    """Addresses of a few nodes of each zone."""

    path: str = 'node-seeds'


@attrs.frozen
class DepartureLists:
    """The targets beside each node that have left."""

    path: str = 'departures'


@attrs.frozen
class Duties:
    """Who holds a single-holder duty, and the reports it has written."""

    path: str = 'duties'


Kind = (
    Manifests
    | Evacuations
    | RolloutOrders
    | RolloutRecords
    | SeedLists
    | DepartureLists
    | Duties
)


def kinds_of(boot: Boot) -> dict[str, Kind]:
    """Return the platform's kind for each of daisyline's kinds."""
    return {
        reader_role.SETTINGS_KIND: Manifests(boot),
        order_reading.ZONES_KIND: Evacuations(),
        order_reading.ROLLOUTS_KIND: RolloutOrders(boot),
        rollout_record.OBJECT_KIND: RolloutRecords(),
        seeds.SEEDS_KIND: SeedLists(),
        DEPARTURES_KIND: DepartureLists(),
        duty_record.OBJECT_KIND: Duties(),
    }


def name_of(kind: Kind, stored_name: str) -> str:
    """Return daisyline's name for an object of the store."""
    if isinstance(kind, Manifests) and stored_name == 'main':
        return reader_role.SETTINGS_NAME
    return stored_name


@functools.singledispatch
def value_of(kind: Any, stored: StoredObject) -> Any:
    """Return an object's content in the form that daisyline reads."""
    return stored.spec


@value_of.register
def _(kind: Manifests, stored: StoredObject) -> Any:
    return {
        'tree': settings_tree(stored.spec, kind.boot),
        EDITION: manifest_number(stored.spec),
    }


@value_of.register
def _(kind: Evacuations, stored: StoredObject) -> Any:
    return {'state': 'out'}


@value_of.register
def _(kind: RolloutOrders, stored: StoredObject) -> Any:
    spec = stored.spec if isinstance(stored.spec, dict) else {}
    version, allowed_s = spec.get('targetVersion'), spec.get('durationS')
    if not isinstance(version, str) or not isinstance(allowed_s, (int, float)):
        return 'unreadable'
    return {
        'id': f'{version}.{stored.created}',
        'old': '',
        'new': version,
        'finish_in_s': allowed_s,
        'exposed_percent': _exposed_percent(kind.boot),
    }


@value_of.register
def _(kind: RolloutRecords, stored: StoredObject) -> Any:
    status = stored.status
    if not isinstance(status, dict):
        return None
    stage = _STAGE_OF_STATE.get(str(status.get('state')))
    return {**status, 'state': stage}


def _exposed_percent(boot: Boot) -> int:
    """Return how many percent of the calls an unjudged version may get."""
    if boot.exposed_share is None:
        return FULL_PERCENT
    return max(1, int(boot.exposed_share * PERCENT))


@functools.singledispatch
def fields_of(kind: Any, content: Any) -> Mapping[str, Any]:
    """Return the fields of an object that a write replaces."""
    return {'spec': content}


@fields_of.register
def _(kind: RolloutRecords, content: Any) -> Mapping[str, Any]:
    status = {
        **content,
        'state': _STATE_OF_STAGE[content['state']],
        'targetVersion': content['new'],
    }
    return {'status': status}
