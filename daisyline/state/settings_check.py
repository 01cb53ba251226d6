"""Check a settings tree and report every mistake at its place."""

import itertools
import re
from collections.abc import Iterator
from typing import Any

import attrs

from daisyline.state.failures import Finding
from daisyline.state.limits import (
    LEAST,
    MAX_DEADLINE_MS,
    MOST,
    PATH,
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
    ListOf,
    Named,
    OneOf,
    Section,
    Text,
    WholeNumber,
    YesOrNo,
    child_path,
    findings_in,
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

_LABEL = Text(
    re.compile('[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?'),
    'a name of at most 63 small letters, digits and inner hyphens',
)
_WORD = Text(
    re.compile(r'[^\s\x00-\x1f\x7f](.{0,126}[^\s\x00-\x1f\x7f])?'),
    'a name of 1 to 128 characters without space around it',
)
_HOST = Text(
    re.compile('[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?'),
    'a host name in small letters, without a port',
)
_PREFIX = Text(
    re.compile(r'/|/[^\s?#]{1,1022}/'),
    'a path that begins and ends with a slash',
)
_PATH = Text(re.compile(r'(/[^\s#]{0,1023})?'), 'a path, or empty for none')
_METHOD = Text(re.compile('[A-Z]{1,20}'), "a method's name in capitals")
_HEADER = Text(
    re.compile('[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?'),
    "a header's name in small letters",
)


def _limit_rule(field: 'attrs.Attribute[Any]') -> Any:
    least = field.metadata.get(LEAST)
    if least is not None:
        return WholeNumber(least, field.metadata[MOST])
    if PATH in field.metadata:
        return _PATH
    return ListOf(_METHOD) if field.type == tuple[str, ...] else _HEADER


_LIMITS = Section(
    {field.name: _limit_rule(field) for field in attrs.fields(Limits)}
)
_ZONE = Section(
    {**_LIMITS.rules, _REGION: _LABEL, 'state': OneOf(('in', 'out'))},
    needed=(_REGION,),
)
_SERVICE = Section(
    {**_LIMITS.rules, _HOSTS: ListOf(_HOST), _ZONES: Named(_LABEL, _LIMITS)}
)
_ROLLOUT = Section(
    {
        'id': _WORD,
        'old': _WORD,
        'new': _WORD,
        'finish_in_s': WholeNumber(1, MAX_FINISH_IN_S),
        'state': OneOf(tuple(PlanState)),
        'exposed_percent': WholeNumber(1, PERCENT),
    },
    needed=('id', 'old', 'new', 'finish_in_s'),
)
_ROUTE = Section(
    {
        'host': _HOST,
        'prefix': _PREFIX,
        _SERVICES: Named(_LABEL, WholeNumber(0, MAX_ROUTE_WEIGHT)),
        'repeatable': YesOrNo(),
        'bulky': YesOrNo(),
        'targets': WholeNumber(1, MAX_TARGETS),
        'priority': WholeNumber(0, MAX_PRIORITY),
        'deadline_ms': WholeNumber(0, MAX_DEADLINE_MS),
        'objective_ms': WholeNumber(0, MAX_DEADLINE_MS),
    },
    needed=('host', 'prefix', _SERVICES),
)
_TENANT = Section({'weight': WholeNumber(1, MAX_WEIGHT)})
_TREE = Section(
    {
        'cluster': _WORD,
        'defaults': _LIMITS,
        _ZONES: Named(_LABEL, _ZONE),
        _SERVICES: Named(_LABEL, _SERVICE),
        'tenants': Named(_WORD, _TENANT),
        'rollouts': Named(_LABEL, _ROLLOUT),
        'routes': Named(_WORD, _ROUTE),
    },
    needed=('cluster',),
)


def check_tree(tree: Any) -> list[Finding]:
    """Return every mistake in a tree, at most `MAX_FINDINGS` of them.

    Args:
        tree: Any JSON value.
    """
    found = itertools.chain(
        findings_in(_TREE, '', tree),
        _unknown_names(tree),
        _hosts_twice(tree),
        _rollouts_to_nowhere(tree),
        _routes_to_nowhere(tree),
    )
    return list(itertools.islice(found, MAX_FINDINGS))


def _object_in(content: Any, key: str) -> dict[str, Any]:
    """Return an object within another, empty if there is none."""
    entry = content.get(key) if isinstance(content, dict) else None
    return entry if isinstance(entry, dict) else {}


def _unknown_names(tree: Any) -> Iterator[Finding]:
    """Find zones and services that are used but not defined."""
    zones = _object_in(tree, _ZONES)
    services = _object_in(tree, _SERVICES)
    for service, entry in services.items():
        path = f'services.{service}.zones'
        for zone in _object_in(entry, _ZONES):
            if zone not in zones:
                hint = suggestion_for(zone, zones)
                yield Finding(child_path(path, zone), f'unknown zone{hint}')
    for moved in _object_in(tree, 'rollouts'):
        if moved not in services:
            hint = suggestion_for(moved, services)
            yield Finding(f'rollouts.{moved}', f'unknown service{hint}')


def _hosts_twice(tree: Any) -> Iterator[Finding]:
    """Find host names that two services claim."""
    owners: dict[str, str] = {}
    for service, host in _claimed_hosts(tree):
        owner = owners.setdefault(host, service)
        if owner != service:
            path = f'services.{service}.hosts'
            yield Finding(path, f'{format_value(host)} belongs to {owner}')


def _claimed_hosts(tree: Any) -> Iterator[tuple[str, str]]:
    for service, entry in _object_in(tree, _SERVICES).items():
        hosts = entry.get(_HOSTS) if isinstance(entry, dict) else None
        for host in hosts if isinstance(hosts, list) else ():
            if isinstance(host, str):
                yield service, host


def _rollouts_to_nowhere(tree: Any) -> Iterator[Finding]:
    """Find rollouts from a version to itself."""
    for service, entry in _object_in(tree, 'rollouts').items():
        if not isinstance(entry, dict) or 'new' not in entry:
            continue
        if entry['new'] == entry.get('old'):
            path = f'rollouts.{service}.new'
            yield Finding(path, 'is the old version as well')


def _routes_to_nowhere(tree: Any) -> Iterator[Finding]:
    """Find routes that lead to no service, or to one that isn't defined."""
    services = _object_in(tree, _SERVICES)
    for name, entry in _object_in(tree, 'routes').items():
        path = child_path('routes', name)
        split = _object_in(entry, _SERVICES)
        if not any(
            isinstance(weight, int) and weight for weight in split.values()
        ):
            yield Finding(f'{path}.services', 'no service has a weight')
        for service in split:
            if service not in services:
                hint = suggestion_for(service, services)
                inside = child_path(f'{path}.services', service)
                yield Finding(inside, f'unknown service{hint}')
