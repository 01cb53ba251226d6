"""Tell a request that its caller sends again from one that is new.

A caller that comes back after a refusal has less time left than it had at
first. How long callers of a route wait at first is learned from what they ask.
"""

import attrs

# First requests of one route ask for times that differ by up to so much; the
# users' callers differ by a sixth.
FIRST_PART = 0.8
# With more short times than this, the callers of a route just differ.
MOST_SHORT_PART = 0.5
# Weight of the newest request in the part that asked for a short time.
SMOOTHING = 0.005
# The longest time asked for fades by this part with each request, so that one
# odd caller is forgotten after some hundreds.
FADING = 0.0005
# More routes than a platform's largest manifest has; the oldest gives way.
MAX_ROUTES = 4_096


@attrs.define
class _Route:
    longest_ms: float = 0
    short_part: float = 0


@attrs.define
class Patience:
    """How long the callers of each route wait for an answer at first."""

    _routes: dict[str, _Route] = attrs.field(factory=dict)

    def comes_again(self, route: str, asked_ms: int) -> bool:
        """Learn from a request; return whether it is probably sent again.

        Args:
            route: The name of its route.
            asked_ms: How long its caller still waits, in milliseconds.
        """
        if route not in self._routes and len(self._routes) >= MAX_ROUTES:
            self._routes.pop(next(iter(self._routes)))
        known = self._routes.setdefault(route, _Route())
        known.longest_ms = max(asked_ms, known.longest_ms * (1 - FADING), 1)
        is_short = asked_ms < FIRST_PART * known.longest_ms
        known.short_part += SMOOTHING * (is_short - known.short_part)
        return is_short and known.short_part < MOST_SHORT_PART
