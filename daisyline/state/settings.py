"""The settings tree: limits in the contract's units, inherited and checked."""

from typing import Any

import attrs

DEFAULT_SLOTS = 8
DEFAULT_CONNECTIONS = 200
DEFAULT_QUEUE = 64
DEFAULT_QUEUE_WAIT_MS = 500
DEFAULT_DEADLINE_MS = 10_000
DEFAULT_BODY_LIMIT_BYTES = 1_048_576
DEFAULT_RETRY_PERCENT = 10


@attrs.frozen
class Limits:
    """What holds for the upstreams of one service in one zone.

    Attributes:
        slots_per_upstream: Calls that one target runs at once.
        connections_per_server: Connections open to one target.
        queue_per_upstream: Calls that wait at one target's node.
        queue_wait_ms: Longest wait in that queue, in milliseconds.
        deadline_ms: A call's deadline if its caller states none.
        body_limit_bytes: Longest body of a request.
        retry_percent: Retries allowed per hundred calls.
        repeatable_methods: Methods that may be sent again.
        tenant_header: The header that names the caller's tenant or class.
    """

    slots_per_upstream: int = DEFAULT_SLOTS
    connections_per_server: int = DEFAULT_CONNECTIONS
    queue_per_upstream: int = DEFAULT_QUEUE
    queue_wait_ms: int = DEFAULT_QUEUE_WAIT_MS
    deadline_ms: int = DEFAULT_DEADLINE_MS
    body_limit_bytes: int = DEFAULT_BODY_LIMIT_BYTES
    retry_percent: int = DEFAULT_RETRY_PERCENT
    repeatable_methods: tuple[str, ...] = ('GET', 'HEAD', 'OPTIONS')
    tenant_header: str = 'x-tenant'


@attrs.frozen
class Settings:
    """The settings in force at one version.

    Attributes:
        version: The platform's version of the tree; a larger one is newer.
        tree: The tree as the operators wrote it.
    """

    version: int = 0
    tree: dict[str, Any] = attrs.field(factory=dict)

    @classmethod
    def from_tree(cls, version: int, tree: dict[str, Any]) -> 'Settings':
        """Build settings from a checked tree."""
        return cls(version=version, tree=tree)

    def limits_for(self, service: str, zone: str) -> Limits:
        """Return the limits of a service's upstreams in a zone."""
        known = {field.name for field in attrs.fields(Limits)}
        merged: dict[str, Any] = {}
        for level in self._levels(service, zone):
            merged.update(
                (key, level[key]) for key in known.intersection(level)
            )
        return Limits(**merged)

    def zone_is_out(self, zone: str) -> bool:
        """Return whether operators have taken a zone out."""
        zones = self.tree.get('zones', {})
        return zones.get(zone, {}).get('state') == 'out'

    def has_service(self, service: str) -> bool:
        """Return whether the tree names a service."""
        return service in self.tree.get('services', {})

    def _levels(self, service: str, zone: str) -> list[dict[str, Any]]:
        """Return the settings that apply, the most general first."""
        of_service = self.tree.get('services', {}).get(service, {})
        return [
            self.tree.get('defaults', {}),
            self.tree.get('zones', {}).get(zone, {}),
            of_service,
            of_service.get('zones', {}).get(zone, {}),
        ]
