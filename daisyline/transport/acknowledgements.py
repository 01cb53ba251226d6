"""Acknowledgements of notices that wait until the store holds a departure."""

from collections.abc import Callable

from daisyline.transport.deadlines import Deadline
from daisyline.transport.loop import Loop


class Acknowledgements:
    """Answers that are sent on a report of the store, or when it is late."""

    def __init__(self, loop: Loop) -> None:
        """Start without answers."""
        self._loop = loop
        self._waiting: dict[Callable[[], None], Deadline] = {}

    def send_within(self, send: Callable[[], None], wait_s: float) -> None:
        """Send an answer with the others, or after a time.

        Args:
            send: Sends the answer.
            wait_s: The longest wait in seconds; with 0 the answer is sent at
                the end of this loop iteration.
        """
        if not wait_s:
            self._loop.defer(send)
            return
        self._waiting[send] = self._loop.call_later(
            wait_s, lambda: self._send(send)
        )

    def send_all(self) -> None:
        """Send the answers that wait."""
        for send in tuple(self._waiting):
            self._send(send)

    def _send(self, send: Callable[[], None]) -> None:
        self._waiting.pop(send).cancel()
        send()
