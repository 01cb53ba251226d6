"""Spreads the calls of a route over its services in proportion to weights."""

import hashlib
import math
import random

import attrs

from daisyline.state.routes import Route

# The number of routes whose position is kept. Beyond it all start anew, which
# changes no share in the long run.
MAX_ROUTES = 4096
_DIGEST_BYTES = 6
_DIGESTS = 2 ** (8 * _DIGEST_BYTES)
_GOLDEN_RATIO_STEP = (math.sqrt(5) - 1) / 2


@attrs.define
class TrafficSplit:
    """Picks the service of each call of a route.

    The positions of a route's calls between 0 and 1 form a Kronecker sequence
    with the golden ratio, which fills that range evenly: the shares hold for
    few calls too, where independent draws would scatter. Each node starts at a
    random position, so that the calls of many nodes are spread as evenly.
    """

    _rng: random.Random
    _positions: dict[str, float] = attrs.field(factory=dict)

    def service_for(self, route: Route, key: bytes = b'') -> str:
        """Return the service that a call of a route goes to.

        Args:
            route: The route.
            key: The caller's idempotency key, or empty. Its hash is the
                position, as a call that is sent again has to meet the service
                that knows of the first.
        """
        if len(route.split) == 1:
            return route.split[0][0]
        position = (
            _hashed_position(key) if key else self._next_position(route.name)
        )
        due = position * sum(weight for _, weight in route.split)
        for service, weight in route.split:
            if due < weight:
                return service
            due -= weight
        # Rounding errors may leave a rest beyond the last service.
        return max(route.split, key=_weight_of)[0]

    def _next_position(self, route_name: str) -> float:
        if len(self._positions) >= MAX_ROUTES:
            self._positions.clear()
        position = self._positions.get(route_name)
        if position is None:
            position = self._rng.random()
        following, _ = math.modf(position + _GOLDEN_RATIO_STEP)
        self._positions[route_name] = following
        return position


def _hashed_position(key: bytes) -> float:
    digest = hashlib.blake2b(key, digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, 'big') / _DIGESTS


def _weight_of(share: tuple[str, int]) -> int:
    return share[1]
