"""The targets that an entry node may send calls to, with their weights."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

import attrs

from daisyline.coordination.routing.routing import Candidate
from daisyline.coordination.routing.weight_ramp import ramp_fraction
from daisyline.state.departures import Incarnation
from daisyline.state.members import Member
from daisyline.state.settings import Settings
from daisyline.state.targets import Phase

# How long computed weights are cached, in seconds. Ramps change slowly compared
# with the rate of calls.
_REFRESH_S = 0.1
# The number of target starts that are remembered as leaving.
MAX_LEFT_TARGETS = 1024

# The share of calls of each version; None without a rollout.
VersionShares = Mapping[str, float] | None
# The key of the share of all versions without a share of their own.
OTHER_VERSIONS = ''


@attrs.frozen
class _CachedCandidates:
    """The cached candidates of a service.

    Attributes:
        at: When they were computed, in monotonic seconds.
        candidates: The candidates.
    """

    at: float
    candidates: tuple[Candidate, ...]


@attrs.define
class TargetTable:
    """Computes the candidates of each service from members and settings.

    Attributes:
        _settings: The settings in force.
        _members: The members of the fleet, by name.
        _first_seen: The instance of each member's target and when this node
            first knew of it, in monotonic seconds.
        _returned_at: When each zone was last brought back, in monotonic
            seconds.
        _zones_out: The zones that are taken out.
        _cache: The computed candidates of each service.
        _started_at: When this node first knew of any members, in monotonic
            seconds.
        _left: The target starts that were seen leaving, oldest first. A node
            that restarts forgets that its target is leaving, and a late
            announcement can then present that target as ready.
    """

    _settings: Settings = attrs.field(factory=Settings)
    _members: dict[str, Member] = attrs.field(factory=dict)
    _first_seen: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    _returned_at: dict[str, float] = attrs.field(factory=dict)
    _zones_out: frozenset[str] = frozenset()
    _cache: dict[str, _CachedCandidates] = attrs.field(factory=dict)
    _started_at: float | None = None
    _left: dict[Incarnation, None] = attrs.field(factory=dict)

    @property
    def settings(self) -> Settings:
        """Return the settings in force."""
        return self._settings

    @property
    def members(self) -> Mapping[str, Member]:
        """Return the members of the fleet, by name."""
        return self._members

    def use_settings(self, settings: Settings, now: float) -> None:
        """Apply new settings; a zone brought back starts its ramp."""
        zones_out = settings.zones_out
        for zone in self._zones_out - zones_out:
            self._returned_at[zone] = now
        self._zones_out = zones_out
        self._settings = settings
        self._cache.clear()

    def use_members(self, members: Iterable[Member], now: float) -> None:
        """Replace all members."""
        by_name = {member.name: member for member in members}
        removed = set(self._members) - set(by_name)
        self.update_members(by_name.values(), removed, now)

    def update_members(
        self, changed: Iterable[Member], removed: Iterable[str], now: float
    ) -> None:
        """Add or replace members, and remove others.

        Targets known from the first update on already serve calls. Only
        targets that appear later start with a part of their weight.

        Args:
            changed: The members that are new or have changed.
            removed: The names of the members to remove.
            now: Monotonic seconds.
        """
        if self._started_at is None:
            self._started_at = now
        for member in changed:
            self._members[member.name] = member
            if member.target is not None:
                instance = member.target.instance
                self._record_first_seen(member.name, instance, now)
                if member.target.phase == Phase.LEAVING:
                    self.record_left(member.target.incarnation)
        for name in removed:
            self._members.pop(name, None)
            self._first_seen.pop(name, None)
        self._cache.clear()

    def record_left(self, incarnation: Incarnation) -> None:
        """Send no calls to a target start from now on, as it leaves."""
        self._left[incarnation] = None
        if len(self._left) > MAX_LEFT_TARGETS:
            self._left.pop(next(iter(self._left)))
        self._cache.clear()

    def candidates(self, service: str, now: float) -> tuple[Candidate, ...]:
        """Return the targets of a service; those of weight 0 get no calls."""
        cached = self._cache.get(service)
        if cached is not None and now - cached.at < _REFRESH_S:
            return cached.candidates
        candidates = tuple(
            self._candidate(member, now)
            for member in self._members.values()
            if member.target is not None and member.target.service == service
        )
        self._cache[service] = _CachedCandidates(now, candidates)
        return candidates

    def _record_first_seen(self, name: str, instance: str, now: float) -> None:
        seen = self._first_seen.get(name)
        if seen is None or seen[0] != instance:
            self._first_seen[name] = (instance, now)

    def _candidate(self, member: Member, now: float) -> Candidate:
        target = member.target
        assert target is not None
        is_closed = (
            target.incarnation in self._left or member.zone in self._zones_out
        )
        weight = 0 if is_closed else self._weight(member, now)
        return Candidate(member.name, target.version, member.zone, weight)

    def _weight(self, member: Member, now: float) -> float:
        """Return a target's weight, from 0 to 1, under the present ramps."""
        target = member.target
        assert target is not None
        limits = self._settings.limits_for(target.service, member.zone)
        returned_at = self._returned_at.get(member.zone)
        zone_fraction = 1.0
        if returned_at is not None:
            zone_fraction = ramp_fraction(
                now - returned_at, limits.zone_return_ms
            )
        first_seen_at = self._first_seen[member.name][1]
        target_fraction = 1.0
        if first_seen_at != self._started_at:
            target_fraction = ramp_fraction(
                now - first_seen_at, limits.cold_start_ms
            )
        return min(zone_fraction, target_fraction)


def weight_by_share(
    candidates: Sequence[Candidate], shares: VersionShares
) -> Sequence[Candidate]:
    """Weight the candidates so that each version gets its share of calls.

    Args:
        candidates: The targets of the service.
        shares: Each version's share of calls; None if the service has no
            rollout. Versions without a share of their own have the share of
            `OTHER_VERSIONS` in common; without that they get no calls.

    Returns:
        The candidates that get calls, each with the version whose share it
        belongs to; the candidates unchanged if there are no shares.
    """
    if shares is None:
        return candidates
    totals: dict[str, float] = defaultdict(float)
    for candidate in candidates:
        totals[_share_key(candidate, shares)] += candidate.weight
    weighted = []
    for one in candidates:
        share_key = _share_key(one, shares)
        share = shares.get(share_key, 0)
        if one.weight > 0 and share > 0:
            weight = share * one.weight / totals[share_key]
            weighted.append(attrs.evolve(one, version=share_key, weight=weight))
    return weighted


def _share_key(candidate: Candidate, shares: Mapping[str, float]) -> str:
    """Return the version, or `OTHER_VERSIONS`, whose share covers a target."""
    return candidate.version if candidate.version in shares else OTHER_VERSIONS
