"""The answers on one connection of a caller, and what they hold in memory."""

import functools
from collections.abc import Callable
from typing import Any

import attrs

from daisyline.coordination.calls.call_events import (
    MEMORY_SHORT,
    AbortCaller,
    AnswerCaller,
    AnswerCallerPart,
    RefuseCaller,
)
from daisyline.protocol.dialect import Dialect
from daisyline.protocol.http_server import ServerCodec
from daisyline.state.failures import Failure, Outcome, Reason
from daisyline.transport.answer_queue import AnswerQueue
from daisyline.transport.caller_memory import CallerMemory
from daisyline.transport.delayed_reset import DelayedReset
from daisyline.transport.loop import Loop
from daisyline.transport.memory_guard import MemoryGuard
from daisyline.transport.queued_answer import QueuedAnswer
from daisyline.transport.sockets import Connection

# The time limit for a new connection to send its first request.
_REQUEST_TIMEOUT_S = 30.0
# The time limit for an idle connection to send its next request.
_IDLE_TIMEOUT_S = 75.0
# After its last answer a connection is still read for this long. Closing a
# socket with unread bytes sends a reset, which can destroy the end of the
# answer before the caller has read it.
_LINGER_S = 1.0
_TOO_COSTLY = Failure(
    Reason.OVERLOADED, detail='too many bodies in tiny chunks'
)
_NODE_STOPS = Failure(Reason.LEAVING, Outcome.UNKNOWN, 'the node stops')
_ANSWER_RELEASED = attrs.evolve(MEMORY_SHORT, outcome=Outcome.UNKNOWN)


class AnsweringConnection:
    """The sending side of one caller's connection.

    Attributes:
        answers: The answers that are not completely sent.
    """

    def __init__(
        self,
        loop: Loop,
        connection: Connection,
        body_limit_bytes: int,
        on_event: Callable[[Any], None],
        dialect: Dialect | None = None,
    ) -> None:
        """Start without an answer, and with the timeout of the first request.

        Args:
            loop: The event loop.
            connection: The accepted connection.
            body_limit_bytes: The maximum size of a request's body.
            on_event: Called with the events of the connection's calls.
            dialect: The names of headers, and the statuses of refusals.
        """
        self._loop = loop
        self._connection = connection
        self._codec = ServerCodec(body_limit_bytes)
        self._ending = False
        self._memory: CallerMemory | None = None
        self._delayed_reset = DelayedReset(loop, connection)
        self.answers = AnswerQueue(
            connection, on_event, self._delayed_reset, dialect or Dialect()
        )
        self._timeout = loop.call_later(_REQUEST_TIMEOUT_S, connection.abort)

    @property
    def call(self) -> str:
        """Return the id of the call that is answered next; empty if none is."""
        first = self.answers.first
        return '' if first is None else first.call

    @call.setter
    def call(self, call: str) -> None:
        """Set the id of the call of the newest request."""
        newest = self.answers.newest
        assert newest is not None
        newest.call = call

    @property
    def has_calls(self) -> bool:
        """Return whether a request is in progress."""
        return len(self.answers) > 0

    @property
    def has_unsent_bytes(self) -> bool:
        """Return whether bytes wait for the caller or for its network."""
        return bool(self._connection.buffered_bytes)

    def use_memory(self, guard: MemoryGuard) -> None:
        """Count what the connection holds in the account of the node."""
        self._memory = CallerMemory(guard, self._connection.peer_host)
        refuse = self._refuse_unfinished
        self._memory.refuse = functools.partial(refuse, MEMORY_SHORT)
        self._memory.refuse_cost = functools.partial(refuse, _TOO_COSTLY)
        self._memory.release_answers = self._release_answers
        self._connection.on_progress = self._update_memory

    def drop(self) -> None:
        """Close the connection at once, in order."""
        self._connection.discard_received()
        self._connection.abort()

    def end_answers(self) -> None:
        """End the answers in progress and close the connection.

        It is reset if an unfinished answer could look whole. Otherwise whole
        answers are sent, and refusals in the place of the others.
        """
        if self.has_unsent_bytes or not self.answers.keeps_whole_answers:
            self._connection.reset()
            return
        self._ending = True
        self._connection.discard_received()
        self.answers.refuse(_is_incomplete, _NODE_STOPS)
        self._connection.close()

    def send_answer(self, answer: AnswerCaller) -> None:
        """Send the head and first part of an answer."""
        queued = self.answers.find_incomplete(answer.call)
        if queued is None:
            return
        self._continue_or_close(self.answers.send_head(queued, answer))

    def send_part(self, part: AnswerCallerPart) -> None:
        """Send a further part of an answer."""
        queued = self.answers.find_incomplete(part.call)
        if queued is not None:
            reusable = self.answers.send_part(queued, b'', part.body, part.last)
            self._continue_or_close(reusable)

    def send_refusal(self, refusal: RefuseCaller) -> None:
        """Send a refusal in place of an answer."""
        queued = self.answers.find_incomplete(refusal.call)
        if queued is not None:
            self._continue_or_close(
                self.answers.send_refusal(queued, refusal.failure)
            )

    def abort_answer(self, abort: AbortCaller) -> None:
        """End an answer that cannot be completed by a refusal or a reset."""
        queued = self.answers.find_incomplete(abort.call)
        if queued is not None:
            self._continue_or_close(self.answers.abort(queued, abort.failure))

    def expire_answer(self, call: str) -> None:
        """Refuse an answer that is held at its deadline."""
        if self.answers.find_incomplete(call) is not None:
            self._continue_or_close(self.answers.expire(call))

    def _release_answers(self) -> None:
        """Release the bytes of answers, which were taken for others."""
        if self.has_unsent_bytes:
            # The caller does not read.
            self._connection.reset()
        else:
            self._continue_or_close(
                self.answers.refuse(_has_unsent, _ANSWER_RELEASED)
            )

    def _refuse_unfinished(
        self, failure: Failure, status: int | None = None
    ) -> None:
        """Refuse a request before its end and release what was received.

        Its end is unknown, so no request after it can be read.

        Args:
            failure: The reason and outcome of the refusal.
            status: The HTTP status; None for that of the failure.
        """
        if self._memory is not None:
            self._memory.record_cost(0)
            self._memory.count_refusal(failure.reason)
        self._codec.discard_body()
        refused = QueuedAnswer(self._codec, closes_connection=True)
        self.answers.closing = True
        self.answers.append(refused)
        self._continue_or_close(
            self.answers.send_refusal(refused, failure, status)
        )

    def _update_memory(self) -> None:
        """Record what the connection holds."""
        if self._memory is not None and self._connection.is_open:
            answers = self.answers
            request_bytes, answer_bytes = answers.count_held()
            request_bytes += self._codec.held_bytes
            self._memory.update(request_bytes, answer_bytes, len(answers))

    def _continue_or_close(self, reusable: bool) -> None:
        """Wait for the next request, or close after the buffered bytes."""
        self._update_memory()
        if not self._connection.is_open or self._ending:
            return
        if not reusable:
            # From now on further requests are ignored.
            self._ending = True
            self._connection.write_eof()
            self._connection.resume_reading()
            if not self._connection.buffered_bytes:
                self._linger()
            self.answers.discard()
            return
        if not self.answers:
            abort = self._connection.abort
            self._timeout.cancel()
            self._timeout = self._loop.call_later(_IDLE_TIMEOUT_S, abort)
        if self.answers.can_extend and not self._connection.buffered_bytes:
            self._loop.defer(self._start_requests)

    def _linger(self) -> None:
        """Read for a short time, until the caller has closed its end."""
        self._timeout.cancel()
        self._timeout = self._loop.call_later(_LINGER_S, self._connection.abort)

    def _start_requests(self) -> None:
        """Start the complete requests that may start now."""


def _has_unsent(answer: QueuedAnswer) -> bool:
    return bool(answer.unsent)


def _is_incomplete(answer: QueuedAnswer) -> bool:
    return not answer.is_complete
