"""Routes: which service a request is for, and what may be done with it."""

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
    """Requests of one host whose path begins with a prefix.

    Attributes:
        name: The route's name in the settings tree.
        host: The host name that it is for.
        prefix: What the path begins with; the longest one that fits holds.
        split: The services that it leads to, each with its weight.
        repeatable: Whether a request may run more than once.
        bulky: Whether answers are large, so that their way costs much.
        targets: How many targets one request may reach at most.
        priority: Its rank when there is no room for all; 0 goes first.
        deadline_ms: The longest time that a caller is kept waiting; 0 if the
            service's limit alone holds.
        objective_ms: The time within which an answer is wanted; 0 if none
            is stated.
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

    @classmethod
    def from_fields(cls, name: str, fields: Mapping[str, Any]) -> 'Route':
        """Build a route from its checked entry in the settings tree."""
        given = dict(fields)
        split = tuple(given.pop('services').items())
        return cls(name=name, split=split, **given)


@attrs.frozen
class RouteTable:
    """Routes by host and prefix."""

    _by_host: Mapping[str, Mapping[bytes, Route]] = attrs.field(factory=dict)

    @classmethod
    def from_tree(cls, entries: Mapping[str, Any]) -> 'RouteTable':
        """Build the table from the section `routes` of a checked tree."""
        by_host: dict[str, dict[bytes, Route]] = defaultdict(dict)
        for name, fields in entries.items():
            route = Route.from_fields(name, fields)
            by_host[route.host][route.prefix.encode()] = route
        return cls(dict(by_host))

    def __bool__(self) -> bool:
        """Return whether there are routes at all."""
        return bool(self._by_host)

    def find(self, host: str, path: bytes) -> Route | None:
        """Return the route with the longest prefix that begins the path.

        Args:
            host: The host name, in small letters and without a port.
            path: The request's target, with its query.
        """
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        left = path.partition(b'?')[0]
        while left:
            # Prefixes end with a slash, so only those have to be looked up.
            left = left[: left.rfind(b'/') + 1]
            route = prefixes.get(left)
            if route is not None:
                return route
            left = left[:-1]
        return None
