"""Failures returned as values, and mistakes found in settings."""

import enum

import attrs

DEFAULT_RETRY_AFTER_S = 1


class Reason(enum.StrEnum):
    """Why a call was refused or failed, as reported to callers."""

    BAD_REQUEST = 'bad-request'
    TOO_LARGE = 'too-large'
    UNAUTHORIZED = 'unauthorized'
    NO_SERVICE = 'no-service'
    NO_SETTINGS = 'no-settings'
    NO_TARGET = 'no-target'
    OVERLOADED = 'overloaded'
    SLOW = 'slow'
    QUEUE_TIMEOUT = 'queue-timeout'
    DEADLINE = 'deadline'
    LEAVING = 'leaving'
    ZONE_OUT = 'zone-out'
    VERSION_STOPPED = 'version-stopped'
    QUARANTINED = 'quarantined'
    PAUSED = 'paused'
    DUPLICATE = 'duplicate'
    TARGET_LOST = 'target-lost'
    NODE_LOST = 'node-lost'
    SILENT = 'silent'
    CANCELLED = 'cancelled'
    PLATFORM_DOWN = 'platform-down'
    CONFLICT = 'conflict'
    NOT_FOUND = 'not-found'


class Outcome(enum.StrEnum):
    """Whether a call that got no answer may have run."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@attrs.frozen
class Failure:
    """A failure that a function returns in place of its result.

    Attributes:
        reason: What went wrong, as a code that programs can compare.
        outcome: `NOT_RUN` only if the call certainly did not run: no target
            was sent a byte of it, or the target refused it.
        detail: A short explanation for people; it may be empty.
        reached_target: Whether the call was sent to a target; if the outcome
            is `NOT_RUN`, the target refused it.
        retry_after_s: When a caller may send a call that did not run again, in
            seconds from now.
    """

    reason: Reason
    outcome: Outcome = Outcome.NOT_RUN
    detail: str = ''
    reached_target: bool = False
    retry_after_s: int = DEFAULT_RETRY_AFTER_S


@attrs.frozen
class Finding:
    """One mistake in settings.

    Attributes:
        path: The path of the setting, for example
            `services.catalogue.slots_per_upstream`.
        problem: What is wrong and what is allowed.
    """

    path: str
    problem: str

    def __str__(self) -> str:
        """Return the finding as one line."""
        return f'{self.path}: {self.problem}'
