"""What one connection of a caller holds in the account of memory."""

from collections.abc import Callable

import attrs

from daisyline.coordination.memory.memory_account import Cause, Holder, Kind
from daisyline.state.failures import Reason
from daisyline.transport.memory_guard import MemoryGuard


class CallerMemory:
    """The requests and the unread answers of one connection.

    Attributes:
        refuse: Called when the bytes of an unfinished request are taken.
        release_answers: Called when the bytes of answers are taken.
        refuse_cost: Called when too many bodies in tiny chunks arrive.
    """

    def __init__(self, guard: MemoryGuard, client: str) -> None:
        """Start with nothing held.

        Args:
            guard: The account of the node.
            client: The address of the client.
        """
        self._guard = guard
        self._requests = Holder(Kind.REQUESTS, client, self._refuse)
        self._answers = Holder(Kind.ANSWERS, client, self._release_answers)
        self.refuse: Callable[[], None] = bool
        self.release_answers: Callable[[], None] = bool
        self.refuse_cost: Callable[[], None] = bool

    def update(self, request_bytes: int, answer_bytes: int, calls: int) -> None:
        """Record what the connection holds now.

        Args:
            request_bytes: The bytes of requests, received or in progress.
            answer_bytes: The bytes of answers that the client has not read.
            calls: The number of requests in progress. While there are any,
                the bytes of requests are needed and can't be taken.
        """
        self._requests.is_revocable = not calls
        self._guard.hold(self._requests, request_bytes)
        self._guard.hold(self._answers, answer_bytes)

    def record_cost(self, chunks: int) -> None:
        """Record how many chunks a costly body has taken; 0 without one."""
        costly_bodies = self._guard.account.costly_bodies
        if not chunks:
            costly_bodies.forget(self)
            return
        refused = costly_bodies.record(self, chunks)
        if isinstance(refused, CallerMemory):
            refused.refuse_cost()

    def count_refusal(self, reason: Reason) -> None:
        """Count a request that was refused before it was complete."""
        self._guard.account.refusals[reason.value] += 1

    def release(self) -> None:
        """Record that the connection is closed."""
        self.record_cost(0)
        self._guard.release(self._requests)
        self._guard.release(self._answers)

    def _refuse(self, _cause: Cause) -> None:
        self.refuse()

    def _release_answers(self, _cause: Cause) -> None:
        # One that was revoked holds nothing more.
        self._answers = attrs.evolve(self._answers, is_revoked=False)
        self.release_answers()
