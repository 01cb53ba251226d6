"""Checks a settings tree and reports every mistake with its path."""

import itertools
import re
from collections.abc import Iterator
from typing import Any

import attrs

from daisyline.state.failures import Finding
from daisyline.state.limits import (
    IS_PATH,
    MAX_DEADLINE_MS,
    MAXIMUM,
    MINIMUM,
    PERCENT,
    Limits,
)
from daisyline.state.rollout_plan import PlanState
from daisyline.state.routes import (
    MAX_PRIORITY,
    MAX_ROUTE_WEIGHT,
    MAX_TARGETS,
)
from daisyline.state.settings_rules import (
    Boolean,
    IntegerRange,
    NamedEntries,
    OneOf,
    Pattern,
    Section,
    UniqueList,
    check_value,
    child_path,
    format_value,
    suggestion_for,
)

MAX_FINDINGS = 200
MAX_WEIGHT = 1000
MAX_FINISH_IN_S = 604_800

_REGION = 'region'
_SERVICES = 'services'
_ZONES = 'zones'
_HOSTS = 'hosts'

_NAME = Pattern(
    re.compile('[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?'),
    'a name of at most 63 lowercase letters, digits and inner hyphens',
)
_TEXT = Pattern(
    re.compile(r'[^\s\x00-\x1f\x7f](.{0,126}[^\s\x00-\x1f\x7f])?'),
    'a name of 1 to 128 characters without space around it',
)
_HOST = Pattern(
    re.compile('[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?'),
    'a host name in lowercase, without a port',
)
_PREFIX = Pattern(
    re.compile(r'/|/[^\s?#]{1,1022}/'),
    'a path that begins and ends with a slash',
)
_PATH = Pattern(re.compile(r'(/[^\s#]{0,1023})?'), 'a path, or empty for none')
_METHOD = Pattern(re.compile('[A-Z]{1,20}'), 'an HTTP method in uppercase')
_HEADER = Pattern(
    re.compile('[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?'),
    'a header name in lowercase',
)


def _limit_rule(field: 'attrs.Attribute[Any]') -> Any:
    """Return the rule of a limit, by the metadata and type of its field."""
    minimum = field.metadata.get(MINIMUM)
    if minimum is not None:
        return IntegerRange(minimum, field.metadata[MAXIMUM])
    if IS_PATH in field.metadata:
        return _PATH
    return UniqueList(_METHOD) if field.type == tuple[str, ...] else _HEADER


_LIMITS = Section(
    {field.name: _limit_rule(field) for field in attrs.fields(Limits)}
)
_ZONE = Section(
    {**_LIMITS.rules, _REGION: _NAME, 'state': OneOf(('in', 'out'))},
    required=(_REGION,),
)
_SERVICE = Section(
    {
        **_LIMITS.rules,
        _HOSTS: UniqueList(_HOST),
        _ZONES: NamedEntries(_NAME, _LIMITS),
    }
)
_ROLLOUT = Section(
    {
        'id': _TEXT,
        'old': _TEXT,
        'new': _TEXT,
        'finish_in_s': IntegerRange(1, MAX_FINISH_IN_S),
        'state': OneOf(tuple(PlanState)),
        'exposed_percent': IntegerRange(1, PERCENT),
    },
    required=('id', 'old', 'new', 'finish_in_s'),
)
_ROUTE = Section(
    {
        'host': _HOST,
        'prefix': _PREFIX,
        _SERVICES: NamedEntries(_NAME, IntegerRange(0, MAX_ROUTE_WEIGHT)),
        'repeatable': Boolean(),
        'bulky': Boolean(),
        'targets': IntegerRange(1, MAX_TARGETS),
        'priority': IntegerRange(0, MAX_PRIORITY),
        'deadline_ms': IntegerRange(0, MAX_DEADLINE_MS),
        'objective_ms': IntegerRange(0, MAX_DEADLINE_MS),
    },
    required=('host', 'prefix', _SERVICES),
)
_TENANT = Section(
    {'weight': IntegerRange(1, MAX_WEIGHT), 'keys': UniqueList(_TEXT)}
)
_TREE = Section(
    {
        'cluster': _TEXT,
        'defaults': _LIMITS,
        _ZONES: NamedEntries(_NAME, _ZONE),
        _SERVICES: NamedEntries(_NAME, _SERVICE),
        'tenants': NamedEntries(_TEXT, _TENANT),
        'rollouts': NamedEntries(_NAME, _ROLLOUT),
        'routes': NamedEntries(_TEXT, _ROUTE),
    },
    required=('cluster',),
)


def check_tree(tree: Any) -> list[Finding]:
    """Return the mistakes in a settings tree, at most `MAX_FINDINGS`.

    Args:
        tree: Any JSON value.
    """
    found = itertools.chain(
        check_value(_TREE, '', tree),
        _undefined_names(tree),
        _duplicate_hosts(tree),
        _rollouts_without_change(tree),
        _routes_without_service(tree),
    )
    return list(itertools.islice(found, MAX_FINDINGS))


def _object_in(content: Any, key: str) -> dict[str, Any]:
    """Return the object at a key; empty if there is none."""
    entry = content.get(key) if isinstance(content, dict) else None
    return entry if isinstance(entry, dict) else {}


def _undefined_names(tree: Any) -> Iterator[Finding]:
    """Yield a finding for each zone or service used but not defined."""
    zones = _object_in(tree, _ZONES)
    services = _object_in(tree, _SERVICES)
    for service, entry in services.items():
        path = f'services.{service}.zones'
        for zone in _object_in(entry, _ZONES):
            if zone not in zones:
                hint = suggestion_for(zone, zones)
                yield Finding(child_path(path, zone), f'unknown zone{hint}')
    for moved_service in _object_in(tree, 'rollouts'):
        if moved_service not in services:
            hint = suggestion_for(moved_service, services)
            yield Finding(f'rollouts.{moved_service}', f'unknown service{hint}')


def _duplicate_hosts(tree: Any) -> Iterator[Finding]:
    """Yield a finding for each host name that an earlier service lists."""
    owners: dict[str, str] = {}
    for service, host in _claimed_hosts(tree):
        owner = owners.setdefault(host, service)
        if owner != service:
            path = f'services.{service}.hosts'
            yield Finding(path, f'{format_value(host)} belongs to {owner}')


def _claimed_hosts(tree: Any) -> Iterator[tuple[str, str]]:
    """Yield each service with each host name that it lists."""
    for service, entry in _object_in(tree, _SERVICES).items():
        hosts = entry.get(_HOSTS) if isinstance(entry, dict) else None
        for host in hosts if isinstance(hosts, list) else ():
            if isinstance(host, str):
                yield service, host


def _rollouts_without_change(tree: Any) -> Iterator[Finding]:
    """Yield a finding for each rollout whose two versions are the same."""
    for service, entry in _object_in(tree, 'rollouts').items():
        if not isinstance(entry, dict) or 'new' not in entry:
            continue
        if entry['new'] == entry.get('old'):
            path = f'rollouts.{service}.new'
            yield Finding(path, 'is the same as the old version')


def _routes_without_service(tree: Any) -> Iterator[Finding]:
    """Yield a finding for each route to no service or to an undefined one."""
    services = _object_in(tree, _SERVICES)
    for name, entry in _object_in(tree, 'routes').items():
        path = child_path('routes', name)
        split = _object_in(entry, _SERVICES)
        if not any(
            isinstance(weight, int) and weight for weight in split.values()
        ):
            yield Finding(
                f'{path}.services', 'no service has a positive weight'
            )
        for service in split:
            if service not in services:
                hint = suggestion_for(service, services)
                entry_path = child_path(f'{path}.services', service)
                yield Finding(entry_path, f'unknown service{hint}')
