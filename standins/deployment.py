"""The two users' deployments as data: zones, services, limits and delays."""

import itertools
from typing import Any

import attrs


@attrs.frozen
class ServicePlan:
    """A service of a deployment.

    Attributes:
        name: The service's name.
        upstreams: How many targets it has, spread over the zones in turn.
        slots: Calls that one target bears at once.
        connections: Connections that one target bears at once.
        service_ms: Mean service time of a call, in milliseconds.
    """

    name: str
    upstreams: int
    slots: int
    connections: int = 200
    service_ms: float = 5


@attrs.frozen
class Instance:
    """The place of one target and of the node beside it."""

    name: str
    service: ServicePlan
    zone: str


@attrs.frozen
class Deployment:
    """One user's zones and services.

    Attributes:
        name: The user's short name; it names the cluster too.
        region: The region that all its zones are in.
        zones: The availability zones.
        services: The services.
        zone_ms: Latency between two zones, one way, in milliseconds.
        client_ms: Latency to clients, one way, in milliseconds.
    """

    name: str
    region: str
    zones: tuple[str, ...]
    services: tuple[ServicePlan, ...]
    zone_ms: float = 1
    client_ms: float = 1

    @property
    def instances(self) -> tuple[Instance, ...]:
        """Return the targets of all services, zone by zone in turn."""
        zones = itertools.cycle(self.zones)
        return tuple(
            Instance(f'{service.name}-{number}', service, next(zones))
            for service in self.services
            for number in range(1, service.upstreams + 1)
        )

    @property
    def tree(self) -> dict[str, Any]:
        """Return the settings tree that states the contract's limits."""
        return {
            'cluster': self.name,
            'zones': {zone: {'region': self.region} for zone in self.zones},
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
        """Return the platform's object that holds the tree."""
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
