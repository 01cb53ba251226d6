"""The settings in force: limits, inherited from the general to the special."""

import functools
from collections.abc import Mapping
from typing import Any

import attrs

from daisyline.state.failures import Finding
from daisyline.state.limits import LIMIT_NAMES, Limits
from daisyline.state.orders import Orders
from daisyline.state.rollout_plan import RolloutPlan
from daisyline.state.routes import RouteTable
from daisyline.state.settings_history import StoredSettings

DEFAULT_WEIGHT = 1
BUILT_IN = 'built in'

# Names of services and zones come from callers' headers, so the cache of
# limits must not grow with them.
MAX_CACHED_LIMITS = 4096

_ZONES = 'zones'
_SERVICES = 'services'

Level = tuple[str, Mapping[str, Any]]


@attrs.frozen
class EffectiveLimit:
    """The value of one limit and the setting that it comes from.

    Attributes:
        name: The limit's name.
        content: The value.
        source_path: The path in the tree that sets it, or `built in`.
    """

    name: str
    content: Any
    source_path: str


@attrs.frozen
class Settings:
    """The settings in force at one version; they never change.

    Attributes:
        version: The platform's version of the tree; a larger one is newer.
        tree: The tree as the operators wrote it.
        orders: Orders that stand beside the tree and go before it.
    """

    version: int = 0
    tree: dict[str, Any] = attrs.field(factory=dict)
    orders: Orders = attrs.field(factory=Orders)
    _cache: dict[tuple[str, str], Limits] = attrs.field(
        factory=dict, init=False, eq=False, repr=False
    )

    @classmethod
    def from_tree(cls, version: int, tree: dict[str, Any]) -> 'Settings':
        """Build settings from a checked tree."""
        return cls(version=version, tree=tree)

    @classmethod
    def from_object(
        cls, version: int, content: Any
    ) -> 'Settings | list[Finding]':
        """Read the platform's object, or return every mistake in it.

        Args:
            version: The object's version.
            content: The object's value, any JSON.
        """
        stored = StoredSettings.from_value(version, content)
        if isinstance(stored, StoredSettings):
            return cls(version=version, tree=stored.tree)
        return stored

    @functools.cached_property
    def hosts(self) -> Mapping[str, str]:
        """Return the service of each host name that the tree lists."""
        return {
            host: service
            for service, entry in self._section(_SERVICES).items()
            for host in entry.get('hosts', ())
        }

    @functools.cached_property
    def routes(self) -> RouteTable:
        """Return the routes that the tree lists."""
        return RouteTable.from_tree(self._section('routes'))

    @property
    def zones_out(self) -> frozenset[str]:
        """Return the zones that operators have taken out."""
        of_tree = (
            zone
            for zone, entry in self._section(_ZONES).items()
            if entry.get('state') == 'out'
        )
        return self.orders.zones_out.union(of_tree)

    def limits_for(self, service: str, zone: str) -> Limits:
        """Return the limits of a service's upstreams in a zone."""
        key = (service, zone)
        limits = self._cache.get(key)
        if limits is None:
            limits = self._inherit(service, zone)
            if len(self._cache) < MAX_CACHED_LIMITS:
                self._cache[key] = limits
        return limits

    def effective(self, service: str, zone: str) -> list[EffectiveLimit]:
        """Return each limit with its value and the place it comes from."""
        limits = self.limits_for(service, zone)
        levels = self._levels(service, zone)
        return [
            EffectiveLimit(name, getattr(limits, name), _origin(name, levels))
            for name in LIMIT_NAMES
        ]

    def zone_is_out(self, zone: str) -> bool:
        """Return whether operators have taken a zone out."""
        return zone in self.zones_out

    @property
    def services(self) -> tuple[str, ...]:
        """Return the names of the services in the tree."""
        return tuple(self._section(_SERVICES))

    def has_service(self, service: str) -> bool:
        """Return whether the tree names a service."""
        return service in self._section(_SERVICES)

    @property
    def tenant_weights(self) -> Mapping[str, int]:
        """Return the weights of the tenants that the tree names."""
        return {name: self.weight_of(name) for name in self._section('tenants')}

    def weight_of(self, tenant: str) -> int:
        """Return a tenant's share of a queue, relative to the others."""
        entry = self._section('tenants').get(tenant, {})
        return int(entry.get('weight', DEFAULT_WEIGHT))

    def rollout_of(self, service: str) -> RolloutPlan | None:
        """Return the rollout that operators want for a service."""
        fields = self._section('rollouts').get(service)
        if fields is None:
            return self.orders.rollouts.get(service)
        return RolloutPlan(service=service, **fields)

    def _section(self, name: str) -> Mapping[str, Any]:
        return self.tree.get(name, {})

    def _inherit(self, service: str, zone: str) -> Limits:
        merged: dict[str, Any] = {}
        for _, level in self._levels(service, zone):
            merged.update(
                (name, level[name]) for name in LIMIT_NAMES if name in level
            )
        return Limits(**merged)

    def _levels(self, service: str, zone: str) -> list[Level]:
        """Return the settings that apply, the most general first."""
        of_service = self._section(_SERVICES).get(service, {})
        in_zone = of_service.get(_ZONES, {}).get(zone, {})
        return [
            ('defaults', self._section('defaults')),
            (f'zones.{zone}', self._section(_ZONES).get(zone, {})),
            (f'services.{service}', of_service),
            (f'services.{service}.zones.{zone}', in_zone),
        ]


def _origin(name: str, levels: list[Level]) -> str:
    """Return the place of the most special level that sets a limit."""
    for path, level in reversed(levels):
        if name in level:
            return f'{path}.{name}'
    return BUILT_IN
