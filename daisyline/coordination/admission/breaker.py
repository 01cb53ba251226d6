"""A circuit breaker for a target with consecutive failures."""

import attrs

#: Consecutive failures after which the breaker opens.
FAILURES_TO_OPEN = 5
#: How long the breaker stays open at first; each failed trial call doubles it.
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 2.0


@attrs.define
class CircuitBreaker:
    """Rejects calls to a target that fails fast and therefore appears idle.

    After a pause, calls are admitted again as a trial: a success closes the
    breaker, a failure opens it for a longer pause.
    """

    _failures: int = 0
    _pause_s: float = FIRST_PAUSE_S
    _open_until: float = 0

    def is_open(self, now: float) -> bool:
        """Return whether calls are rejected; `now` is in monotonic seconds."""
        return now < self._open_until

    def record_result(self, now: float, *, succeeded: bool) -> bool:
        """Count the result of a call; return whether it opened the breaker."""
        if succeeded:
            self._failures = 0
            self._pause_s = FIRST_PAUSE_S
            self._open_until = 0
            return False
        self._failures += 1
        if self._failures < FAILURES_TO_OPEN or self.is_open(now):
            return False
        self._open_until = now + self._pause_s
        self._pause_s = min(MAX_PAUSE_S, 2 * self._pause_s)
        return True
