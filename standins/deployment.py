"""The deployments of the two users: zones, services, limits and delays."""

import itertools
from collections.abc import Mapping
from typing import Any

import attrs


@attrs.frozen
class ServicePlan:
    """A service of a deployment.

    Attributes:
        name: The service's name.
        upstreams: The number of targets, assigned to the zones in turn.
        slots: The concurrent calls that one target can serve.
        connections: The open connections that one target can serve.
        service_ms: The mean service time of a call, in milliseconds.
    """

    name: str
    upstreams: int
    slots: int
    connections: int = 200
    service_ms: float = 5


@attrs.frozen
class Instance:
    """One target of a service and the node beside it, in a zone."""

    name: str
    service: ServicePlan
    zone: str


@attrs.frozen
class Deployment:
    """The zones and services of one user.

    Attributes:
        name: The short name of the user, which is also the name of the cluster.
        region: The region of all zones.
        zones: The availability zones.
        services: The services.
        zone_ms: The one-way latency between two zones, in milliseconds.
        client_ms: The one-way latency to clients, in milliseconds.
        defaults: Limits of all services in place of the built-in ones.
        routes: The routes of requests, by name.
    """

    name: str
    region: str
    zones: tuple[str, ...]
    services: tuple[ServicePlan, ...]
    zone_ms: float = 1
    client_ms: float = 1
    defaults: Mapping[str, int] = attrs.field(factory=dict)
    routes: Mapping[str, Any] = attrs.field(factory=dict)

    @property
    def instances(self) -> tuple[Instance, ...]:
        """Return the instances of all services, assigned to zones in turn."""
        zones = itertools.cycle(self.zones)
        return tuple(
            Instance(f'{service.name}-{number}', service, next(zones))
            for service in self.services
            for number in range(1, service.upstreams + 1)
        )

    @property
    def tree(self) -> dict[str, Any]:
        """Return the settings tree with the limits of the contract."""
        return {
            'cluster': self.name,
            'zones': {zone: {'region': self.region} for zone in self.zones},
            'defaults': dict(self.defaults),
            'routes': dict(self.routes),
            'services': {
                service.name: {
                    'slots_per_upstream': service.slots,
                    'connections_per_server': service.connections,
                }
                for service in self.services
            },
        }

    @property
    def settings(self) -> dict[str, Any]:
        """Return the value of the settings object, with an empty history."""
        return {'tree': self.tree, 'changes': []}


STOFBRIL = Deployment(
    name='stofbril',
    region='flanders',
    zones=('ghent-a', 'ghent-b', 'antwerp-c'),
    services=(
        ServicePlan('catalogue', upstreams=6, slots=9, service_ms=8),
        ServicePlan('docs', upstreams=3, slots=9, service_ms=4),
    ),
)
ASSOCIACAO = Deployment(
    name='associacao',
    region='nordeste',
    zones=('recife', 'fortaleza', 'salvador'),
    services=(
        ServicePlan('pairing', upstreams=7, slots=6, service_ms=10),
        ServicePlan('sessions', upstreams=3, slots=6, service_ms=5),
    ),
    client_ms=10,
)
DEPLOYMENTS = (STOFBRIL, ASSOCIACAO)
