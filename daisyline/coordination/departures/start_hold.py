"""Holds back a target that was started before the process of its node.

Such a target may have announced to an earlier process that it leaves, and its
announcements may go on or arrive late. A new process learns of that from its
object in the platform's store or from a node that was in touch with the earlier
process; until then it does not use the target.
"""

import math

import attrs

from daisyline.state.targets import Target

# The longest time for which a target is held back, in seconds. Within it the
# store is asked again a few times, and a join succeeds on a loaded machine.
HOLD_S = 3.0
# How long the target is held after the first announcement although the store
# lists no departure of it, in seconds. The other nodes, which a process usually
# joins earlier, may know of one that the earlier process could not write.
JOIN_S = 0.5
# The facts of another node arrive in several messages, and the store has to have
# time to answer first, in seconds.
SETTLE_S = 0.25
# A target that started less than this before the process, in milliseconds, is
# used when the store has answered. After a loss of power both start within a
# second, and no other node knows more; waiting would only delay the recovery.
_YOUNG_MS = 2_000
# A node that runs for longer than this, in milliseconds, was in touch with the
# earlier process: a platform restarts a process sooner, so that nodes that were
# killed together start within this time.
_KNOWING_AGE_MS = 10_000


@attrs.define
class StartHold:
    """Decides from when on a target of an earlier time may be used.

    Attributes:
        _process_ms: When this process started, in Unix milliseconds.
        _held_at: When the target announced itself first, in monotonic seconds.
        _release_at: When the target may be used, in monotonic seconds; infinity
            while none is held.
        _target_ms: When the held target started, in Unix milliseconds.
        _oldest_peer_ms: When the oldest of the nodes started whose facts this
            process has received, in Unix milliseconds.
        _is_over: Whether no target is held back any more.
    """

    _process_ms: int = 0
    _held_at: float = 0
    _release_at: float = math.inf
    _target_ms: int = 0
    _oldest_peer_ms: float = math.inf
    _is_over: bool = False

    @property
    def is_holding(self) -> bool:
        """Return whether a target is held back now."""
        return not math.isinf(self._release_at)

    def next_at(self) -> float:
        """Return when the target has to be released, in monotonic seconds."""
        return self._release_at

    def holds(self, target: Target, now: float) -> bool:
        """Return whether an announced target must not be used yet.

        A target that does not state its start is not held back, as nothing
        tells a later start of it from the one that left.

        Args:
            target: The target.
            now: Monotonic seconds.
        """
        is_older = 0 < target.started_ms <= self._process_ms
        if self._is_over or not is_older:
            return False
        if not self.is_holding:
            self._held_at = now
            self._release_at = now + HOLD_S
            self._target_ms = target.started_ms
            self._apply_join(now)
        return True

    def record_join(self, peer_started_ms: int, now: float) -> None:
        """Record that another node has sent all facts that it holds.

        Args:
            peer_started_ms: When its process started, in Unix milliseconds.
            now: Monotonic seconds.
        """
        self._oldest_peer_ms = min(self._oldest_peer_ms, peer_started_ms)
        if self.is_holding:
            self._apply_join(now)

    def record_answer(self, now: float) -> None:
        """Record that the store has answered what it lists of departures."""
        if self.is_holding:
            is_young = self._target_ms > self._process_ms - _YOUNG_MS
            wait_s = 0 if is_young else JOIN_S
            release_at = max(now, self._held_at + wait_s)
            self._release_at = min(self._release_at, release_at)

    def end(self) -> None:
        """Hold no target back from now on."""
        self._is_over = True
        self._release_at = math.inf

    def _apply_join(self, now: float) -> None:
        """Release the target soon if a node would know of its departure.

        A node that is older than the target has heard of all that it did.
        """
        knowing_ms = max(self._target_ms, self._process_ms - _KNOWING_AGE_MS)
        if self._oldest_peer_ms <= knowing_ms:
            self._release_at = min(self._release_at, now + SETTLE_S)
