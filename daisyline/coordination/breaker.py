"""A circuit breaker for a target whose calls fail one after the other."""

import attrs

#: Failures in a row after which calls are kept from the target.
OPEN_FAILURES = 5
#: How long it is left alone at first; doubles with each failed trial.
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 2.0


@attrs.define
class Breaker:
    """Keeps calls from a target that fails fast and so looks idle.

    After a pause one call is let through as a trial; its success closes the
    breaker, its failure makes the next pause longer.
    """

    _failures: int = 0
    _pause_s: float = FIRST_PAUSE_S
    _open_until: float = 0

    def is_open(self, now: float) -> bool:
        """Return whether calls are kept away; `now` in monotonic seconds."""
        return now < self._open_until

    def observe(self, now: float, *, succeeded: bool) -> bool:
        """Learn from a call that ended; return whether this opened it."""
        if succeeded:
            self._failures = 0
            self._pause_s = FIRST_PAUSE_S
            self._open_until = 0
            return False
        self._failures += 1
        if self._failures < OPEN_FAILURES or self.is_open(now):
            return False
        self._open_until = now + self._pause_s
        self._pause_s = min(MAX_PAUSE_S, 2 * self._pause_s)
        return True
