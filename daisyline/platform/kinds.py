"""What daisyline's kinds of objects are called and hold on the platform."""

import functools
import types
from collections.abc import Mapping
from typing import Any

import attrs

from daisyline.coordination import (
    order_reading,
    reader_role,
    rollout_record,
    seeds,
)
from daisyline.platform.boot import Boot
from daisyline.platform.manifest import settings_tree
from daisyline.state.limits import PERCENT
from daisyline.state.rollout_state import Stage

_STATES = types.MappingProxyType(
    {
        str(Stage.MOVING): 'running',
        str(Stage.DONE): 'completed',
        str(Stage.ROLLED_BACK): 'rolled_back',
    }
)
_STAGES = types.MappingProxyType(
    {state: stage for stage, state in _STATES.items()}
)


@attrs.frozen
class StoredObject:
    """An object of the platform.

    Attributes:
        name: Its name.
        revision: The store's revision at its last change.
        created: The store's revision at which it was made.
        spec: What its owner wrote.
        status: What was written about it by others.
    """

    name: str
    revision: int
    created: int
    spec: Any
    status: Any

    @classmethod
    def from_fields(cls, fields: Any) -> 'StoredObject | None':
        """Read an object; None if it is not one."""
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
    """The manifest, from which the settings tree is made."""

    boot: Boot
    path: str = 'config'


@attrs.frozen
class Evacuations:
    """Orders to send nothing to the targets of a zone."""

    path: str = 'evacuations'


@attrs.frozen
class RolloutOrders:
    """Orders to move a service to another version."""

    boot: Boot
    path: str = 'rollouts'


@attrs.frozen
class RolloutRecords:
    """Where rollouts stand: the status of the orders."""

    path: str = 'rollouts'


@attrs.frozen
class SeedLists:
    """Addresses of a few nodes of each zone."""

    path: str = 'node-seeds'


Kind = Manifests | Evacuations | RolloutOrders | RolloutRecords | SeedLists


def kinds_of(boot: Boot) -> dict[str, Kind]:
    """Return the platform's kind for each of daisyline's."""
    return {
        reader_role.SETTINGS_KIND: Manifests(boot),
        order_reading.ZONES_KIND: Evacuations(),
        order_reading.ROLLOUTS_KIND: RolloutOrders(boot),
        rollout_record.OBJECT_KIND: RolloutRecords(),
        seeds.SEEDS_KIND: SeedLists(),
    }


def name_of(kind: Kind, stored_name: str) -> str:
    """Return daisyline's name of an object."""
    if isinstance(kind, Manifests) and stored_name == 'main':
        return reader_role.SETTINGS_NAME
    return stored_name


@functools.singledispatch
def value_of(kind: Any, stored: StoredObject) -> Any:
    """Return what an object says, as daisyline's decisions read it."""
    return stored.spec


@value_of.register
def _(kind: Manifests, stored: StoredObject) -> Any:
    return {'tree': settings_tree(stored.spec, kind.boot)}


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
        'exposed_percent': int(kind.boot.exposed_share * PERCENT),
    }


@value_of.register
def _(kind: RolloutRecords, stored: StoredObject) -> Any:
    status = stored.status
    if not isinstance(status, dict):
        return None
    stage = _STAGES.get(str(status.get('state')))
    return {**status, 'state': stage}


@functools.singledispatch
def fields_of(kind: Any, content: Any) -> Mapping[str, Any]:
    """Return the part of an object that a write replaces."""
    return {'spec': content}


@fields_of.register
def _(kind: RolloutRecords, content: Any) -> Mapping[str, Any]:
    status = {
        **content,
        'state': _STATES[content['state']],
        'targetVersion': content['new'],
    }
    return {'status': status}
