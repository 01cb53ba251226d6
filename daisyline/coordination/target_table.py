"""The targets that an entry node may pick, with their weights."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

import attrs

from daisyline.coordination.routing import Candidate
from daisyline.coordination.weight_ramp import ramp_fraction
from daisyline.state.members import Member
from daisyline.state.settings import Settings
from daisyline.state.targets import Phase

# Ramps move slowly beside calls, so weights are worked out this rarely.
_REFRESH_S = 0.1

Shares = Mapping[str, float] | None
# The share of all versions that have none of their own.
OTHERS = ''


@attrs.frozen
class _Weighed:
    """The candidates of a service as they were at a time."""

    at: float
    candidates: tuple[Candidate, ...]


@attrs.define
class TargetTable:
    """Candidates for each service, from members and settings."""

    _settings: Settings = attrs.field(factory=Settings)
    _members: dict[str, Member] = attrs.field(factory=dict)
    _met_at: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    _back_at: dict[str, float] = attrs.field(factory=dict)
    _out: frozenset[str] = frozenset()
    _cache: dict[str, _Weighed] = attrs.field(factory=dict)
    _started: float | None = None

    @property
    def settings(self) -> Settings:
        """Return the settings that it follows."""
        return self._settings

    @property
    def members(self) -> Mapping[str, Member]:
        """Return the members that it knows, by name."""
        return self._members

    def use_settings(self, settings: Settings, now: float) -> None:
        """Follow a change of settings; a zone that is back starts its ramp."""
        out = settings.zones_out
        for zone in self._out - out:
            self._back_at[zone] = now
        self._out = out
        self._settings = settings
        self._cache.clear()

    def use_members(self, members: Iterable[Member], now: float) -> None:
        """Follow a change of members.

        The targets met first of all carry the service already, so only later
        ones start with a part of their weight.
        """
        if self._started is None:
            self._started = now
        fleet = {member.name: member for member in members}
        for name, member in fleet.items():
            if member.target is not None:
                self._meet(name, member.target.instance, now)
        for name in set(self._met_at) - set(fleet):
            self._met_at.pop(name)
        self._members = fleet
        self._cache.clear()

    def candidates(self, service: str, now: float) -> tuple[Candidate, ...]:
        """Return the targets of a service; those of weight 0 take no calls."""
        known = self._cache.get(service)
        if known is not None and now - known.at < _REFRESH_S:
            return known.candidates
        made = tuple(
            self._candidate(member, now)
            for member in self._members.values()
            if member.target is not None and member.target.service == service
        )
        self._cache[service] = _Weighed(now, made)
        return made

    def _meet(self, name: str, instance: str, now: float) -> None:
        known = self._met_at.get(name)
        if known is None or known[0] != instance:
            self._met_at[name] = (instance, now)

    def _candidate(self, member: Member, now: float) -> Candidate:
        target = member.target
        assert target is not None
        shut = target.phase == Phase.LEAVING or member.zone in self._out
        weight = 0 if shut else self._weight(member, now)
        return Candidate(member.name, target.version, member.zone, weight)

    def _weight(self, member: Member, now: float) -> float:
        """Return the part of its weight that a target gets."""
        target = member.target
        assert target is not None
        limits = self._settings.limits_for(target.service, member.zone)
        back_at = self._back_at.get(member.zone)
        zone_part = 1.0
        if back_at is not None:
            zone_part = ramp_fraction(now - back_at, limits.zone_return_ms)
        met_at = self._met_at[member.name][1]
        target_part = 1.0
        if met_at != self._started:
            target_part = ramp_fraction(now - met_at, limits.cold_start_ms)
        return min(zone_part, target_part)


def by_share(
    candidates: Sequence[Candidate], shares: Shares
) -> Sequence[Candidate]:
    """Return the candidates with their versions' shares as weights.

    Args:
        candidates: The targets of the service.
        shares: Each version's share of calls; None if none is moving. A
            version that isn't named gets no calls.
    """
    if shares is None:
        return candidates
    totals: dict[str, float] = defaultdict(float)
    for candidate in candidates:
        totals[_group(candidate, shares)] += candidate.weight
    weighed = []
    for one in candidates:
        group = _group(one, shares)
        share = shares.get(group, 0)
        if one.weight > 0 and share > 0:
            weight = share * one.weight / totals[group]
            weighed.append(attrs.evolve(one, version=group, weight=weight))
    return weighed


def _group(candidate: Candidate, shares: Mapping[str, float]) -> str:
    """Return the version whose share a target's is part of."""
    return candidate.version if candidate.version in shares else OTHERS
