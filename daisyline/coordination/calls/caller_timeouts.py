"""Detects requests that a caller sends again after a refusal.

Such a caller states a shorter timeout than it did at first. The timeout of a
first request is estimated for each route from the timeouts that callers state.
"""

import attrs

# A first request states at least this fraction of the longest timeout of its
# route. The users' callers differ by a sixth.
MIN_FIRST_FRACTION = 0.8
# If a larger fraction of a route's requests has short timeouts, its callers
# have different timeouts and no request counts as sent again.
MAX_SHORT_FRACTION = 0.5
# Weight of the newest request in the fraction with a short timeout.
SHORT_FRACTION_SMOOTHING = 0.005
# The longest timeout decays by this fraction with each request, so that a
# single outlier loses its effect after some hundreds of requests.
LONGEST_DECAY = 0.0005
# More routes than a platform's largest manifest has; the oldest is evicted.
MAX_ROUTES = 4_096


@attrs.define
class _Route:
    longest_ms: float = 0
    short_fraction: float = 0


@attrs.define
class CallerTimeouts:
    """The longest timeout of first requests, estimated for each route."""

    _routes: dict[str, _Route] = attrs.field(factory=dict)

    def is_resend(self, route: str, timeout_ms: int) -> bool:
        """Record a request; return whether it was probably sent before.

        Args:
            route: The name of the request's route.
            timeout_ms: How long the caller still waits, in milliseconds.
        """
        if route not in self._routes and len(self._routes) >= MAX_ROUTES:
            self._routes.pop(next(iter(self._routes)))
        estimate = self._routes.setdefault(route, _Route())
        estimate.longest_ms = max(
            timeout_ms, estimate.longest_ms * (1 - LONGEST_DECAY), 1
        )
        is_short = timeout_ms < MIN_FIRST_FRACTION * estimate.longest_ms
        estimate.short_fraction += SHORT_FRACTION_SMOOTHING * (
            is_short - estimate.short_fraction
        )
        return is_short and estimate.short_fraction < MAX_SHORT_FRACTION
