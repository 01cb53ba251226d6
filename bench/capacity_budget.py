"""The arithmetic that takes measured slopes to the target's size."""

from collections.abc import Mapping

import attrs

from bench.capacity_fit import Series, TargetSize, format_short, markdown_table

CORE_US_S = 1_000_000
CONTROL_US_S = 11_000
CONTROL_BYTES_S = 7_000
MEMORY_MIB = 64
SPREAD_S = 6
DAY_S = 86_400
KIB_PER_MIB = 1024
HEADER = ('what', 'worked out from', 'at the target', 'limit', 'verdict')
# The bytes of a bare TCP segment with time stamps at the level of IP; a
# message and its acknowledgement take two.
SEGMENT_BYTES = 52
# Two nodes of each of two regions watch, for so long at a time.
READERS = 4
WATCH_S = 30
# All nodes together review the seeds once in this time, in seconds.
REVIEW_S = 10
# One rollout of each service a day.
ROLLOUTS_A_DAY = 57
# A quiet connection is probed by the kernel once in so many seconds.
KEEPALIVE_S = 15
CALLER_CONNECTIONS = 200
READS_S = 2000


@attrs.frozen
class Item:
    """One answer of the budget.

    Attributes:
        name: What is worked out, with its unit.
        terms: Its parts by name, which are added.
        limit: The most that is allowed, or None.
    """

    name: str
    terms: tuple[tuple[str, float], ...]
    limit: float | None = None

    @property
    def total(self) -> float:
        """Return the sum of its parts."""
        return sum(term for _name, term in self.terms)

    @property
    def verdict(self) -> str:
        """Return whether the limit holds."""
        if self.limit is None:
            return ''
        return 'holds' if self.total <= self.limit else 'OVER'

    def cells(self) -> tuple[str, ...]:
        """Return the cells of the row that shows it."""
        parts = ' + '.join(
            f'{name} {format_short(term)}' for name, term in self.terms
        )
        limit = '' if self.limit is None else format_short(self.limit)
        return (self.name, parts, format_short(self.total), limit, self.verdict)


@attrs.frozen
class Measured:
    """What the arithmetic starts from, beside the series.

    Attributes:
        idle_us_s: Processor time of an idle node beside a target.
        base_mib: Resident memory of a node that has just started.
        rollout_calls: Platform calls of one good rollout.
    """

    idle_us_s: float
    base_mib: float
    rollout_calls: int


@attrs.frozen
class Budget:
    """What a node and the platform bear at the target's size."""

    series: Mapping[str, Series]
    measured: Measured
    size: TargetSize = TargetSize()

    def items(self) -> list[Item]:
        """Return all answers."""
        return [
            *self._calls('inner calls counted in', self.size.node_calls_s),
            *self._calls('all 11 deep on top', self.size.deepest_calls_s),
            self._control_time(),
            *self._control_bytes(),
            self._memory(),
            self._platform(),
            self._spread(),
            Item('probes/s sent to targets, 9 upstreams', (('none', 0),)),
            Item('probes/s sent to targets, 1,100', (('none', 0),)),
        ]

    def lines(self) -> list[str]:
        """Return the table of all answers."""
        return markdown_table(HEADER, [item.cells() for item in self.items()])

    def _at(self, name: str) -> float:
        return self.series[name].at_target

    def _calls(self, counted: str, rate: float) -> list[Item]:
        """Return a node's time for calls, as an entry and beside a target."""
        terms = []
        for role in ('entry', "target's node"):
            for kind in ('user', 'system'):
                line = self.series[f'{role}, {kind} us/s'].line
                terms.append((f'{role} {kind}', line.at(rate)))
        title = f'calls, us/s, {format_short(rate)}/s a node ({counted})'
        return [Item(title, tuple(terms), CORE_US_S)]

    def _control_time(self) -> Item:
        settings_us = 1000 * self._at('settings change, decisions ms')
        terms = (
            ('idle process', self.measured.idle_us_s),
            ('gossip decisions', self._at('gossip, idle, decisions us/s')),
            ('settings', settings_us * self.size.changes_a_day / DAY_S),
            ('judging one rollout', self._at('judge, us/s')),
        )
        return Item('control, us/s', terms, CONTROL_US_S)

    def _control_bytes(self) -> list[Item]:
        """Return the bytes sent, without and with keep-alive probes.

        The kernel probes quiet callers' connections, whether or not that is
        counted as control.
        """
        messages = self._at('gossip, idle, messages/s')
        terms = (
            ('gossip', self._at("gossip at the target's rates, bytes/s")),
            ('segments', messages * 2 * SEGMENT_BYTES),
            ('evidence to a judge', self._at('judge, bytes/s')),
        )
        probes = CALLER_CONNECTIONS / KEEPALIVE_S
        kept = ('keep-alive of 200 callers', probes * SEGMENT_BYTES)
        title = 'control, bytes/s sent'
        return [
            Item(title, terms, CONTROL_BYTES_S),
            Item(f'{title}, with keep-alive', (*terms, kept), CONTROL_BYTES_S),
        ]

    def _memory(self) -> Item:
        parts = (
            ('members', self._at('members known, KiB')),
            ('records', self._at('answer records, KiB')),
            ('histograms', self._at('histograms, KiB')),
            ('decisions', self._at('record of decisions, KiB')),
            ('connections', self._grown('entry, RSS KiB')),
            ('streams', self._grown('entry, RSS KiB+')),
        )
        mib = tuple((name, kib / KIB_PER_MIB) for name, kib in parts)
        base = ('base', self.measured.base_mib)
        return Item('memory, MiB', (base, *mib), MEMORY_MIB)

    def _grown(self, name: str) -> float:
        """Return what the target's count adds to the value at 0."""
        measured = self.series[name]
        return measured.line.slope * measured.target

    def _platform(self) -> Item:
        starts = self._at('platform calls of a node in its first minutes')
        terms = (
            ('waiting watches', READERS / WATCH_S),
            ('changes', READERS * self.size.changes_a_day / DAY_S),
            ('seeds', 1 / REVIEW_S),
            ('restarts', starts * self.size.restarts_a_day / DAY_S),
            (
                'rollouts',
                self.measured.rollout_calls * ROLLOUTS_A_DAY / DAY_S,
            ),
        )
        return Item('platform, calls/s of the fleet', terms, READS_S)

    def _spread(self) -> Item:
        spread = self._at('settings change in force on all, s (steps of 0.1)')
        return Item(
            'settings in force on all, s', (('spread', spread),), SPREAD_S
        )
