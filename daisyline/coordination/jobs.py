"""A call as the node beside its target holds it."""

import math

import attrs

from daisyline.coordination.answer_records import MAX_RECORD_BYTES
from daisyline.coordination.messages import Answer, Run

# Bytes of an answer that may be on their way to a caller that is slow.
WINDOW_BYTES = 262_144


@attrs.define
class Job:
    """A call that this node has taken for its target.

    Attributes:
        run: What is run.
        peer: The node that answers for it.
        deadline: When it must have ended, in monotonic seconds.
        wanted_by: After this its answer is late, in monotonic seconds.
        started_at: When it was handed to the target; None while it waits.
        attached: Whether anybody still waits for the answer.
        answered: Whether the head went out.
        moved_at: When the answer last made progress.
        retry_spent: Whether a retry was spent on a call made for this one.
        aborted: Whether the target was told to stop.
        unacknowledged: Bytes of the answer that the caller has not taken.
        held: Whether reading from the target is stopped.
        status: The answer's status, once its head came.
        kept: The answer as it grows, if the call may not be repeated.
    """

    run: Run
    peer: str
    deadline: float
    wanted_by: float = math.inf
    started_at: float | None = None
    attached: bool = True
    answered: bool = False
    moved_at: float = 0
    retry_spent: bool = False
    aborted: bool = False
    unacknowledged: int = 0
    held: bool = False
    status: int = 0
    kept: Answer | None = None

    def keep_head(self, answer: Answer) -> None:
        """Keep the head of an answer that may be asked for again."""
        self.answered = True
        self.status = answer.status
        if not self.run.repeatable and len(answer.body) <= MAX_RECORD_BYTES:
            self.kept = attrs.evolve(answer, last=True)

    def keep_part(self, body: bytes) -> None:
        """Keep a part of the body; an answer that grows too long is not."""
        if self.kept is None:
            return
        whole = self.kept.body + body
        fits = len(whole) <= MAX_RECORD_BYTES
        self.kept = attrs.evolve(self.kept, body=whole) if fits else None

    def note_sent(self, octets: int) -> bool:
        """Count bytes on their way; return whether to hold the target."""
        self.unacknowledged += octets
        if self.held or self.unacknowledged <= WINDOW_BYTES:
            return False
        self.held = True
        return True

    def note_taken(self, octets: int) -> bool:
        """Count bytes the caller took; return whether to read on."""
        self.unacknowledged -= octets
        if not self.held or self.unacknowledged > WINDOW_BYTES // 2:
            return False
        self.held = False
        return True
