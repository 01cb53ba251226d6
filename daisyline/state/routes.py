"""Routes: the services that requests go to, and how they are handled."""

from collections import defaultdict
from collections.abc import Mapping
from typing import Any

import attrs

DEFAULT_TARGETS = 3
DEFAULT_PRIORITY = 1
MAX_TARGETS = 100
MAX_PRIORITY = 100
MAX_ROUTE_WEIGHT = 1_000_000


@attrs.frozen
class Route:
    """A rule for the requests of one host whose path begins with a prefix.

    Attributes:
        name: The route's name in the settings tree.
        host: The host name of the requests.
        prefix: The prefix of the path; the longest matching prefix of a host
            is used.
        split: The services that requests go to, each with its weight.
        repeatable: Whether a request may run more than once.
        bulky: Whether answers are large, so that sending them between zones
            takes long.
        targets: The maximum number of targets that one request may be sent
            to.
        priority: The priority under load; 0 is served first.
        deadline_ms: The longest time that a caller waits, in milliseconds; 0
            if only the service's limit applies.
        objective_ms: The time within which an answer is wanted, in
            milliseconds; 0 if none is stated.
        key_exempt: Whether requests need no key where customers have keys.
    """

    name: str
    host: str
    prefix: str
    split: tuple[tuple[str, int], ...]
    repeatable: bool = False
    bulky: bool = False
    targets: int = DEFAULT_TARGETS
    priority: int = DEFAULT_PRIORITY
    deadline_ms: int = 0
    objective_ms: int = 0
    key_exempt: bool = False

    @classmethod
    def from_fields(cls, name: str, fields: Mapping[str, Any]) -> 'Route':
        """Build a route from its entry in a checked settings tree."""
        remaining = dict(fields)
        split = tuple(remaining.pop('services').items())
        return cls(name=name, split=split, **remaining)


@attrs.frozen
class RouteTable:
    """The routes of a settings tree, by host and prefix."""

    _by_host: Mapping[str, Mapping[bytes, Route]] = attrs.field(factory=dict)

    @classmethod
    def from_tree(cls, entries: Mapping[str, Any]) -> 'RouteTable':
        """Build the table from section `routes` of a checked settings tree."""
        by_host: dict[str, dict[bytes, Route]] = defaultdict(dict)
        for name, fields in entries.items():
            route = Route.from_fields(name, fields)
            by_host[route.host][route.prefix.encode()] = route
        return cls(dict(by_host))

    def __bool__(self) -> bool:
        """Return whether there are any routes."""
        return bool(self._by_host)

    def find(self, host: str, path: bytes) -> Route | None:
        """Return the route with the longest prefix of the path, if any.

        Args:
            host: The host name, in lowercase and without a port.
            path: The path of the request, with its query.
        """
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        prefix = path.partition(b'?')[0]
        while prefix:
            # All prefixes end with a slash, so the path is shortened by one
            # segment at a time.
            prefix = prefix[: prefix.rfind(b'/') + 1]
            route = prefixes.get(prefix)
            if route is not None:
                return route
            prefix = prefix[:-1]
        return None
