"""The state of a call at the node beside its target."""

import math

import attrs

from daisyline.coordination.calls.answer_records import MAX_RECORD_BYTES
from daisyline.coordination.calls.messages import AnswerHead, RunCall

# Bytes of an answer that may be unacknowledged by the caller before reading
# from the target stops.
ANSWER_WINDOW_BYTES = 262_144


@attrs.define
class TargetCall:
    """A call that this node has accepted for its target.

    Attributes:
        run: The request.
        entry_node: The entry node of the call.
        deadline: When the call must have ended, in monotonic seconds.
        objective: When the answer should be there, in monotonic seconds.
        started_at: When the request was sent to the target, in monotonic
            seconds; None while the call waits.
        is_awaited: Whether the entry node still waits for the answer.
        answered: Whether the head of the answer was sent.
        last_progress_at: When the answer last made progress, in monotonic
            seconds.
        retry_spent: Whether a retry was spent on a call made for this one.
        aborted: Whether the call was cancelled at the target.
        unacknowledged: Bytes of the answer that were sent and that the
            caller has not acknowledged.
        read_paused: Whether reading from the target is stopped.
        status: The HTTP status of the answer; 0 before its head.
        has_length: Whether the answer states the length of its body.
        recorded_answer: The answer recorded so far, if the call must not be
            repeated and the answer is short enough; otherwise None.
    """

    run: RunCall
    entry_node: str
    deadline: float
    objective: float = math.inf
    started_at: float | None = None
    is_awaited: bool = True
    answered: bool = False
    last_progress_at: float = 0
    retry_spent: bool = False
    aborted: bool = False
    unacknowledged: int = 0
    read_paused: bool = False
    status: int = 0
    has_length: bool = False
    recorded_answer: AnswerHead | None = None

    def record_head(self, answer: AnswerHead) -> None:
        """Record the head of an answer, in case it is requested again."""
        self.answered = True
        self.status = answer.status
        self.has_length = any(
            name.lower() == b'content-length' for name, _ in answer.headers
        )
        if not self.run.repeatable and len(answer.body) <= MAX_RECORD_BYTES:
            self.recorded_answer = attrs.evolve(answer, last=True)

    def record_part(self, body: bytes) -> None:
        """Record a part of the body; drop the record if it gets too long."""
        if self.recorded_answer is None:
            return
        whole = self.recorded_answer.body + body
        fits = len(whole) <= MAX_RECORD_BYTES
        self.recorded_answer = (
            attrs.evolve(self.recorded_answer, body=whole) if fits else None
        )

    def record_sent(self, octets: int) -> bool:
        """Count sent bytes; return whether to stop reading from the target."""
        self.unacknowledged += octets
        if self.read_paused or self.unacknowledged <= ANSWER_WINDOW_BYTES:
            return False
        self.read_paused = True
        return True

    def record_acknowledged(self, octets: int) -> bool:
        """Count acknowledged bytes; return whether to resume reading."""
        self.unacknowledged -= octets
        if (
            not self.read_paused
            or self.unacknowledged > ANSWER_WINDOW_BYTES // 2
        ):
            return False
        self.read_paused = False
        return True
