"""The settings in force, with limits inherited from general to specific."""

import functools
from collections.abc import Mapping
from typing import Any

import attrs

from daisyline.state.customers import CustomerTable
from daisyline.state.failures import Finding
from daisyline.state.limits import LIMIT_NAMES, Limits
from daisyline.state.orders import Orders
from daisyline.state.rollout_plan import RolloutPlan
from daisyline.state.routes import RouteTable
from daisyline.state.settings_history import StoredSettings

DEFAULT_WEIGHT = 1
BUILT_IN = 'built in'

# Names of services and zones may come from callers' headers, so the cache of
# limits has a maximum size.
MAX_CACHED_LIMITS = 4096

_ZONES = 'zones'
_SERVICES = 'services'
_TENANTS = 'tenants'

_Level = tuple[str, Mapping[str, Any]]


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
    """The immutable settings in force at one version.

    Attributes:
        version: The rank of the time at which the platform's store got the
            tree, see `StoreTime`; larger is newer.
        tree: The tree as the operators wrote it.
        orders: Orders that the platform stores outside the tree. They add to
            the zones that are out, and are used for services for which the
            tree has no rollout.
        edition: The number that operators give to the tree; 0 for none.
    """

    version: int = 0
    tree: dict[str, Any] = attrs.field(factory=dict)
    orders: Orders = attrs.field(factory=Orders)
    edition: int = 0
    _cache: dict[tuple[str, str], Limits] = attrs.field(
        factory=dict, init=False, eq=False, repr=False
    )

    @classmethod
    def from_tree(cls, version: int, tree: dict[str, Any]) -> 'Settings':
        """Build settings from a checked settings tree."""
        return cls(version=version, tree=tree)

    @classmethod
    def from_object(
        cls, version: int, content: Any
    ) -> 'Settings | list[Finding]':
        """Build settings from the platform's object.

        Args:
            version: The object's version.
            content: The object's value; any JSON value.

        Returns:
            The settings, or every mistake in the object.
        """
        stored = StoredSettings.from_value(version, content)
        if isinstance(stored, StoredSettings):
            return cls(version, stored.tree, edition=stored.edition)
        return stored

    @functools.cached_property
    def hosts(self) -> Mapping[str, str]:
        """Return the service of each host name in the tree."""
        return {
            host: service
            for service, entry in self._section(_SERVICES).items()
            for host in entry.get('hosts', ())
        }

    @functools.cached_property
    def routes(self) -> RouteTable:
        """Return the routes of the tree."""
        return RouteTable.from_tree(self._section('routes'))

    @functools.cached_property
    def customers(self) -> CustomerTable:
        """Return the customers of the tree, by the hashes of their keys."""
        return CustomerTable.from_tree(self._section(_TENANTS))

    @property
    def zones_out(self) -> frozenset[str]:
        """Return the zones that operators have taken out of use."""
        tree_zones = (
            zone
            for zone, entry in self._section(_ZONES).items()
            if entry.get('state') == 'out'
        )
        return self.orders.zones_out.union(tree_zones)

    def limits_for(self, service: str, zone: str) -> Limits:
        """Return the limits of a service's upstreams in a zone."""
        key = (service, zone)
        limits = self._cache.get(key)
        if limits is None:
            limits = self._merge_limits(service, zone)
            if len(self._cache) < MAX_CACHED_LIMITS:
                self._cache[key] = limits
        return limits

    def effective(self, service: str, zone: str) -> list[EffectiveLimit]:
        """Return each limit with its value and the path of its setting."""
        limits = self.limits_for(service, zone)
        levels = self._levels(service, zone)
        return [
            EffectiveLimit(
                name, getattr(limits, name), _source_path(name, levels)
            )
            for name in LIMIT_NAMES
        ]

    def zone_is_out(self, zone: str) -> bool:
        """Return whether operators have taken a zone out of use."""
        return zone in self.zones_out

    @property
    def services(self) -> tuple[str, ...]:
        """Return the names of the services in the tree."""
        return tuple(self._section(_SERVICES))

    def has_service(self, service: str) -> bool:
        """Return whether the tree has a service."""
        return service in self._section(_SERVICES)

    @property
    def tenant_weights(self) -> Mapping[str, int]:
        """Return the weights of the tenants in the tree, by name."""
        return {name: self.weight_of(name) for name in self._section(_TENANTS)}

    def weight_of(self, tenant: str) -> int:
        """Return a tenant's weight: its share of a queue relative to others."""
        entry = self._section(_TENANTS).get(tenant, {})
        return int(entry.get('weight', DEFAULT_WEIGHT))

    def rollout_of(self, service: str) -> RolloutPlan | None:
        """Return the rollout that operators request for a service, if any."""
        fields = self._section('rollouts').get(service)
        if fields is None:
            return self.orders.rollouts.get(service)
        return RolloutPlan(service=service, **fields)

    def _section(self, name: str) -> Mapping[str, Any]:
        return self.tree.get(name, {})

    def _merge_limits(self, service: str, zone: str) -> Limits:
        merged: dict[str, Any] = {}
        for _, level in self._levels(service, zone):
            merged.update(
                (name, level[name]) for name in LIMIT_NAMES if name in level
            )
        return Limits(**merged)

    def _levels(self, service: str, zone: str) -> list[_Level]:
        """Return the paths and sections that apply, the most general first."""
        service_section = self._section(_SERVICES).get(service, {})
        zone_section = service_section.get(_ZONES, {}).get(zone, {})
        return [
            ('defaults', self._section('defaults')),
            (f'zones.{zone}', self._section(_ZONES).get(zone, {})),
            (f'services.{service}', service_section),
            (f'services.{service}.zones.{zone}', zone_section),
        ]


def _source_path(name: str, levels: list[_Level]) -> str:
    """Return the path of the most specific setting of a limit."""
    for path, level in reversed(levels):
        if name in level:
            return f'{path}.{name}'
    return BUILT_IN
