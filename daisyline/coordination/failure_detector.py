"""Find members that have failed, by direct and indirect pings.

The method is SWIM's (Das, Gupta, Motivala 2002), with two changes: a node
pings its successors on the overlay's rings in turn in place of random
members, so that streams stay open, and it forgets its open probes when it
finds that it was itself paused.
"""

import random
from collections.abc import Callable, Sequence
from typing import Any

import attrs

from daisyline.coordination.effects import Send
from daisyline.coordination.gossip_messages import (
    GossipPing,
    ProbeAnswer,
    ProbeRequest,
)
from daisyline.coordination.gossip_records import (
    Summary,
)
from daisyline.coordination.jitter import jittered, new_nonce
from daisyline.coordination.membership import Membership

PING_INTERVAL_S = 0.5
ANSWER_TIMEOUT_S = 0.6
HELPER_COUNT = 3


@attrs.frozen
class Probe:
    """A member that has been pinged and hasn't answered yet."""

    name: str
    expires_at: float
    indirect: bool = False


@attrs.frozen
class Relay:
    """A ping that was sent in another member's place."""

    requester: str
    nonce: int
    expires_at: float


@attrs.define
class FailureDetector:
    """The pings of one node."""

    _members: Membership
    _rng: random.Random
    _next_ping_at: float
    _summary: Callable[[], Summary]
    _ping_count: int = 0
    _probes: dict[int, Probe] = attrs.field(factory=dict)
    _relays: dict[int, Relay] = attrs.field(factory=dict)

    def next_at(self) -> float:
        """Return when `tick` must be called next."""
        first = min(
            (probe.expires_at for probe in self._probes.values()),
            default=self._next_ping_at,
        )
        return min(first, self._next_ping_at)

    def tick(self, now: float) -> tuple[list[Any], list[str]]:
        """Return the effects that are due, and the members to suspect."""
        effects, suspected = self._expire_probes(now)
        if now >= self._next_ping_at:
            self._next_ping_at = now + jittered(self._rng, PING_INTERVAL_S)
            effects.extend(self._ping_next(now))
        return effects, suspected

    def probe(self, name: str, now: float) -> list[Any]:
        """Ping a member at once, unless it is being pinged."""
        if any(probe.name == name for probe in self._probes.values()):
            return []
        if name not in self._members.live or name == self._members.me.name:
            return []
        if name in self._members.suspects:
            return []
        nonce = new_nonce(self._rng)
        self._probes[nonce] = Probe(name, now + ANSWER_TIMEOUT_S)
        return [Send(name, GossipPing(nonce, self._summary()))]

    def relay(
        self, requester: str, request: ProbeRequest, now: float
    ) -> list[Any]:
        """Ping a member in another one's place."""
        if request.name not in self._members.live:
            return []
        nonce = new_nonce(self._rng)
        expires_at = now + ANSWER_TIMEOUT_S
        self._relays[nonce] = Relay(requester, request.nonce, expires_at)
        return [Send(request.name, GossipPing(nonce, self._summary()))]

    def record_answer(self, nonce: int) -> list[Any]:
        """Note an answer to a ping, and pass it on if it was relayed."""
        self._probes.pop(nonce, None)
        relay = self._relays.pop(nonce, None)
        if relay is None:
            return []
        return [Send(relay.requester, ProbeAnswer(relay.nonce))]

    def reset(self, now: float) -> None:
        """Drop open probes, as this node was paused while they ran."""
        self._probes.clear()
        self._relays.clear()
        self._next_ping_at = now

    def _expire_probes(self, now: float) -> tuple[list[Any], list[str]]:
        effects: list[Any] = []
        suspected = []
        for nonce, probe in tuple(self._probes.items()):
            if probe.expires_at > now:
                continue
            self._probes.pop(nonce)
            if probe.indirect or not self._helpers(probe.name):
                suspected.append(probe.name)
            else:
                effects.extend(self._probe_indirectly(probe.name, now))
        for nonce, relay in tuple(self._relays.items()):
            if relay.expires_at <= now:
                self._relays.pop(nonce)
        return effects, suspected

    def _probe_indirectly(self, name: str, now: float) -> list[Any]:
        nonce = new_nonce(self._rng)
        expires_at = now + 2 * ANSWER_TIMEOUT_S
        self._probes[nonce] = Probe(name, expires_at, indirect=True)
        request = ProbeRequest(nonce, name)
        return [Send(helper, request) for helper in self._helpers(name)]

    def _helpers(self, name: str) -> Sequence[str]:
        """Return members that can ping one; the ring's rotation varies them."""
        skipped = {name, *self._members.suspects}
        neighbours = self._members.overlay.neighbours(skipped)
        start = self._ping_count % max(1, len(neighbours))
        return (neighbours[start:] + neighbours[:start])[:HELPER_COUNT]

    def _ping_next(self, now: float) -> list[Any]:
        successors = self._members.overlay.successors(self._members.suspects)
        if not successors:
            return []
        self._ping_count += 1
        return self.probe(successors[self._ping_count % len(successors)], now)
