"""Detection of failed members by direct and indirect pings.

The protocol is SWIM (Das, Gupta, Motivala 2002) with two changes. A node pings
its successors on the overlay's rings in turn instead of random members, so
that streams stay open. It drops its open probes when it detects that its own
process was paused, because the answers may have arrived during the pause.
"""

import random
from collections.abc import Callable, Sequence
from typing import Any

import attrs

from daisyline.coordination.effects import Send
from daisyline.coordination.jitter import jittered, new_nonce
from daisyline.coordination.membership.gossip_messages import (
    GossipPing,
    ProbeAnswer,
    ProbeRequest,
)
from daisyline.coordination.membership.gossip_records import (
    Summary,
)
from daisyline.coordination.membership.membership import Membership

PING_INTERVAL_S = 0.5
ANSWER_TIMEOUT_S = 0.6
HELPER_COUNT = 3


@attrs.frozen
class Probe:
    """A ping whose answer is outstanding.

    Attributes:
        name: The member that was pinged.
        expires_at: When the probe fails, in monotonic seconds.
        indirect: Whether other members were asked to ping the member.
    """

    name: str
    expires_at: float
    indirect: bool = False


@attrs.frozen
class Relay:
    """A ping that was sent on behalf of another member.

    Attributes:
        requester: The member that asked for the ping.
        nonce: The nonce of its `ProbeRequest`.
        expires_at: When the relay is dropped, in monotonic seconds.
    """

    requester: str
    nonce: int
    expires_at: float


@attrs.define
class FailureDetector:
    """One node's failure detector.

    A member that answers neither a direct ping nor the pings of up to
    `HELPER_COUNT` other members is suspected.
    """

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
        """Ping a live member unless it is suspected or already being pinged."""
        if any(probe.name == name for probe in self._probes.values()):
            return []
        if (
            name not in self._members.live
            or name == self._members.own_member.name
        ):
            return []
        if name in self._members.suspects:
            return []
        nonce = new_nonce(self._rng)
        self._probes[nonce] = Probe(name, now + ANSWER_TIMEOUT_S)
        return [Send(name, GossipPing(nonce, self._summary()))]

    def relay(
        self, requester: str, request: ProbeRequest, now: float
    ) -> list[Any]:
        """Ping a member on behalf of another one."""
        if request.name not in self._members.live:
            return []
        nonce = new_nonce(self._rng)
        expires_at = now + ANSWER_TIMEOUT_S
        self._relays[nonce] = Relay(requester, request.nonce, expires_at)
        return [Send(request.name, GossipPing(nonce, self._summary()))]

    def handle_answer(self, nonce: int) -> list[Any]:
        """Close the probe that was answered; forward an answer to a relay."""
        self._probes.pop(nonce, None)
        relay = self._relays.pop(nonce, None)
        if relay is None:
            return []
        return [Send(relay.requester, ProbeAnswer(relay.nonce))]

    def reset(self, now: float) -> None:
        """Drop open probes and relays after a pause of this process."""
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
        """Return members that can ping one; the choice rotates with time."""
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
