"""Keeps a node's object of departures in the platform's store.

The object lists the target starts beside the node that have left. It is written
when the node learns of a departure, and read by a later process of the node.
"""

import math
from random import Random
from typing import Any

import attrs

from daisyline.coordination.departures.departure_content import (
    content_of,
    departures_in,
)
from daisyline.coordination.departures.departure_events import (
    DeparturesRead,
    DeparturesStored,
)
from daisyline.coordination.effects import (
    PlatformRead,
    PlatformReply,
    PlatformWrite,
)
from daisyline.coordination.jitter import jittered, new_nonce
from daisyline.state.departures import (
    DEPARTURE_TTL_MS,
    DEPARTURES_KIND,
    Departure,
    Incarnation,
)

# How long the acknowledgement of a departure waits for the store, in seconds.
# A target counts an acknowledgement only if it arrives within a second.
ACKNOWLEDGEMENT_WAIT_S = 0.5
# A reply that has not arrived after this time counts as lost, in seconds; longer
# than the time limit of a call on the platform.
REPLY_TIMEOUT_S = 5.0
# Calls that fail are repeated, the first time within the wait of an
# acknowledgement, in seconds.
FIRST_RETRY_S = 0.2
MAX_RETRY_S = 8.0
# After a return of the store the nodes read their objects within this time.
MAX_RETURN_DELAY_S = 1.0
# Half of the starts that a process remembers, see `registration.MAX_LEFT`.
MAX_DEPARTURES = 32
_MAX_DOUBLINGS = 10
_MS_PER_S = 1000
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409

Effects = list[Any]


@attrs.define
class DepartureRecord:
    """Reads and writes one node's object of departures.

    There is one call at a time. A write has to meet the version that the last
    answer stated, at first none. If it meets another, or its answer is lost, it
    is repeated; a conflict is followed by a read, which shows what is stored.

    Attributes:
        is_enabled: Whether departures are stored; otherwise no call is made.
        _name: The name of the node.
        _rng: The source of random numbers.
        _started_at: When this process started, in monotonic seconds.
        _started_ms: The same in Unix milliseconds.
        _known: The departures that are stored or have to be, by start; the
            oldest first.
        _unsaved: Those that the store is not known to hold.
        _written: The unsaved ones in the write that awaits its answer.
        _version: The version of the object; 0 if there is none, or if it is
            not known.
        _must_read: Whether the object is read before the next write.
        _has_read: Whether this process has read the object.
        _token: The token of the call that awaits its answer; empty without one.
        _due_at: When the call counts as lost, or the next one starts, in
            monotonic seconds.
        _failures: The number of calls in a row that failed.
        _learned_at: When the node learned of the last departure, in monotonic
            seconds.
    """

    _name: str
    _rng: Random
    _started_at: float
    _started_ms: int
    is_enabled: bool = False
    _known: dict[Incarnation, Departure] = attrs.field(factory=dict)
    _unsaved: set[Incarnation] = attrs.field(factory=set)
    _written: frozenset[Incarnation] = frozenset()
    _version: int = 0
    _must_read: bool = False
    _has_read: bool = False
    _token: str = ''
    _due_at: float = math.inf
    _failures: int = 0
    _learned_at: float = -math.inf

    def acknowledgement_wait_s(self, now: float) -> float:
        """Return how long the acknowledgement of a departure waits, in seconds.

        It is 0 if the store holds all departures or does not answer.
        """
        if not self._unsaved:
            return 0
        return max(0, self._learned_at + ACKNOWLEDGEMENT_WAIT_S - now)

    def next_at(self) -> float:
        """Return when `tick` must be called next, in monotonic seconds."""
        return self._due_at

    def read(self, now: float) -> Effects:
        """Return the effect that reads the object; only one read succeeds."""
        if not self.is_enabled or self._has_read:
            return []
        self._must_read = True
        return self._start_call(now)

    def add(self, departed: Incarnation, now: float) -> Effects:
        """Return the effect that stores a departure, unless it is known.

        Args:
            departed: The start that left.
            now: Monotonic seconds.
        """
        if not self.is_enabled or self._is_known(departed):
            return []
        self._known[departed] = Departure(*departed, self._unix_ms(now))
        self._unsaved.add(departed)
        self._learned_at = now
        if not self._token:
            # The acknowledgement waits, so a retry of earlier ones does not.
            self._due_at = math.inf
        return self._start_call(now)

    def handle_return(self, now: float) -> Effects:
        """Compare the object again, as the store is an older copy.

        Departures that the copy lacks are written again. Unless an
        acknowledgement waits, the read is delayed, as many nodes may have one.
        """
        is_waiting = self.acknowledgement_wait_s(now) > 0
        self._token = ''
        self._written = frozenset()
        self._failures = 0
        self._due_at = math.inf
        self._forget_old(now)
        self._unsaved.update(self._known)
        self._must_read = bool(self._known)
        if not self._known:
            return []
        if is_waiting:
            return self._start_call(now)
        self._due_at = now + self._rng.uniform(0, MAX_RETURN_DELAY_S)
        return []

    def tick(self, now: float) -> Effects:
        """Return the call that is due, after one that failed or was lost."""
        if now < self._due_at:
            return []
        if self._token:
            self._schedule_retry(now)
            return []
        self._due_at = math.inf
        return self._start_call(now)

    def handle(self, reply: PlatformReply, now: float) -> Effects:
        """Handle the platform's answer; others than the awaited are ignored."""
        if not self._token or reply.token != self._token:
            return []
        written = self._written
        self._written = frozenset()
        self._token = ''
        self._due_at = math.inf
        if not written and reply.status in {_OK, _NOT_FOUND}:
            return self._handle_read(reply, now)
        if not written or reply.status not in {_OK, _CONFLICT, _NOT_FOUND}:
            self._schedule_retry(now)
            return []
        if reply.status == _OK:
            return self._handle_written(written, reply.version, now)
        # Another version is there, or the object was deleted.
        self._must_read = True
        if self._failures:
            # A store that goes on rejecting writes is not called in a loop.
            self._schedule_retry(now)
            return []
        self._failures += 1
        return self._start_call(now)

    def _is_known(self, departed: Incarnation) -> bool:
        """Return whether a departure is known, maybe without its start."""
        instance, started_ms = departed
        unstated = self._known.get((instance, 0))
        return departed in self._known or (
            unstated is not None and started_ms <= unstated.left_ms
        )

    def _handle_read(self, reply: PlatformReply, now: float) -> Effects:
        self._must_read = False
        self._has_read = True
        self._version = reply.version if reply.status == _OK else 0
        listed = departures_in(reply.content)
        stored = {departure.incarnation: departure for departure in listed}
        was_unsaved = bool(self._unsaved)
        self._unsaved.difference_update(stored)
        if not self._unsaved:
            self._failures = 0
        # An object that was deleted is written anew with the next departure.
        self._known = {**stored, **self._known}
        effects: Effects = [DeparturesRead(listed)]
        if was_unsaved and not self._unsaved:
            effects.append(DeparturesStored())
        return effects + self._start_call(now)

    def _handle_written(
        self, written: frozenset[Incarnation], version: int, now: float
    ) -> Effects:
        self._failures = 0
        self._version = version
        self._unsaved.difference_update(written)
        if self._unsaved:
            return self._start_call(now)
        return [DeparturesStored()]

    def _start_call(self, now: float) -> Effects:
        """Return the next call, unless one awaits its answer or its retry."""
        if not math.isinf(self._due_at):
            return []
        if self._must_read:
            token = self._new_token(now)
            return [PlatformRead(token, DEPARTURES_KIND, self._name)]
        if not self._unsaved:
            return []
        self._forget_old(now)
        self._written = frozenset(self._unsaved)
        content = content_of(self._known.values())
        token = self._new_token(now)
        return [
            PlatformWrite(
                token, DEPARTURES_KIND, self._name, self._version, content
            )
        ]

    def _forget_old(self, now: float) -> None:
        """Drop departures whose target has ended since, and the oldest.

        A later target has left beside the node, and no announcement is late by
        so much.
        """
        oldest_ms = self._unix_ms(now) - DEPARTURE_TTL_MS
        kept = [
            departure
            for departure in self._known.values()
            if departure.left_ms >= oldest_ms
            or departure.incarnation in self._unsaved
        ]
        self._known = {
            departure.incarnation: departure
            for departure in kept[-MAX_DEPARTURES:]
        }
        self._unsaved.intersection_update(self._known)

    def _new_token(self, now: float) -> str:
        nonce = new_nonce(self._rng)
        self._token = f'departures-{nonce}'
        self._due_at = now + REPLY_TIMEOUT_S
        return self._token

    def _schedule_retry(self, now: float) -> None:
        """Schedule the next call; the outcome of a write is then unknown."""
        self._token = ''
        self._written = frozenset()
        doublings = min(self._failures, _MAX_DOUBLINGS)
        self._failures += 1
        pause_s = min(MAX_RETRY_S, FIRST_RETRY_S * 2**doublings)
        self._due_at = now + jittered(self._rng, pause_s)

    def _unix_ms(self, now: float) -> int:
        return self._started_ms + int((now - self._started_at) * _MS_PER_S)
