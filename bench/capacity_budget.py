"""Budget of a node and the platform, extrapolated to the target size."""

from collections.abc import Mapping

import attrs

from bench.capacity_fit import Series, TargetSize, format_short, markdown_table

CORE_LIMIT_US_S = 1_000_000
CONTROL_LIMIT_US_S = 11_000
CONTROL_LIMIT_BYTES_S = 7_000
MEMORY_LIMIT_MIB = 64
SPREAD_LIMIT_S = 6
DAY_S = 86_400
KIB_PER_MIB = 1024
HEADER = ('what', 'worked out from', 'at the target', 'limit', 'verdict')
# Bytes of an empty TCP segment with timestamps, including the IP header; a
# message and its acknowledgement take two segments.
SEGMENT_BYTES = 52
# Two nodes in each of two regions watch the platform; each watch request
# waits for up to `WATCH_TIMEOUT_S`.
WATCHING_NODES = 4
WATCH_TIMEOUT_S = 30
# The nodes together check the seeds once per interval.
SEEDS_CHECK_INTERVAL_S = 10
# One rollout per service and day.
ROLLOUTS_A_DAY = 57
# Interval at which the kernel probes an idle connection.
KEEPALIVE_S = 15
CALLER_CONNECTIONS = 200
PLATFORM_LIMIT_CALLS_S = 2000


@attrs.frozen
class BudgetItem:
    """One quantity of the budget.

    Attributes:
        name: Name of the quantity, with its unit.
        terms: Its parts as pairs of a name and a summand.
        limit: Upper limit of the sum, or None.
    """

    name: str
    terms: tuple[tuple[str, float], ...]
    limit: float | None = None

    @property
    def total(self) -> float:
        """Return the sum of the terms."""
        return sum(term for _name, term in self.terms)

    @property
    def verdict(self) -> str:
        """Return 'holds' or 'OVER'; empty without a limit."""
        if self.limit is None:
            return ''
        return 'holds' if self.total <= self.limit else 'OVER'

    def cells(self) -> tuple[str, ...]:
        """Return the cells of its row in the table."""
        parts = ' + '.join(
            f'{name} {format_short(term)}' for name, term in self.terms
        )
        limit = '' if self.limit is None else format_short(self.limit)
        return (self.name, parts, format_short(self.total), limit, self.verdict)


@attrs.frozen
class BudgetInputs:
    """Measured inputs of the budget that are not series.

    Attributes:
        idle_us_s: Processor time of an idle node beside a target, in
            microseconds per second.
        base_mib: Resident memory of a node that has just started.
        rollout_calls: Number of platform calls of one good rollout.
    """

    idle_us_s: float
    base_mib: float
    rollout_calls: int


@attrs.frozen
class Budget:
    """Load on a node and on the platform at the target size."""

    series: Mapping[str, Series]
    inputs: BudgetInputs
    size: TargetSize = TargetSize()

    def items(self) -> list[BudgetItem]:
        """Return all items of the budget."""
        return [
            *self._calls('inner calls counted in', self.size.node_calls_s),
            *self._calls('all 11 deep on top', self.size.deepest_calls_s),
            self._control_time(),
            *self._control_bytes(),
            self._memory(),
            self._platform(),
            self._spread(),
            BudgetItem('probes/s sent to targets, 9 upstreams', (('none', 0),)),
            BudgetItem('probes/s sent to targets, 1,100', (('none', 0),)),
        ]

    def lines(self) -> list[str]:
        """Return the lines of the table of all items."""
        return markdown_table(HEADER, [item.cells() for item in self.items()])

    def _value_at_target(self, name: str) -> float:
        return self.series[name].value_at_target

    def _calls(self, assumption: str, rate: float) -> list[BudgetItem]:
        """Return a node's processor time for calls, as entry and as target."""
        terms = []
        for role in ('entry', "target's node"):
            for kind in ('user', 'system'):
                line = self.series[f'{role}, {kind} us/s'].line
                terms.append((f'{role} {kind}', line.value_at(rate)))
        title = f'calls, us/s, {format_short(rate)}/s a node ({assumption})'
        return [BudgetItem(title, tuple(terms), CORE_LIMIT_US_S)]

    def _control_time(self) -> BudgetItem:
        settings_us = 1000 * self._value_at_target(
            'settings change, decisions ms'
        )
        terms = (
            ('idle process', self.inputs.idle_us_s),
            (
                'gossip decisions',
                self._value_at_target('gossip, idle, decisions us/s'),
            ),
            ('settings', settings_us * self.size.changes_a_day / DAY_S),
            ('judging one rollout', self._value_at_target('judge, us/s')),
        )
        return BudgetItem('control, us/s', terms, CONTROL_LIMIT_US_S)

    def _control_bytes(self) -> list[BudgetItem]:
        """Return the bytes sent, without and with keep-alive probes.

        The kernel probes idle connections of callers in any case; the second
        item counts these probes as control traffic.
        """
        messages = self._value_at_target('gossip, idle, messages/s')
        terms = (
            (
                'gossip',
                self._value_at_target("gossip at the target's rates, bytes/s"),
            ),
            ('segments', messages * 2 * SEGMENT_BYTES),
            ('evidence to a judge', self._value_at_target('judge, bytes/s')),
        )
        probes = CALLER_CONNECTIONS / KEEPALIVE_S
        keepalive = ('keep-alive of 200 callers', probes * SEGMENT_BYTES)
        title = 'control, bytes/s sent'
        return [
            BudgetItem(title, terms, CONTROL_LIMIT_BYTES_S),
            BudgetItem(
                f'{title}, with keep-alive',
                (*terms, keepalive),
                CONTROL_LIMIT_BYTES_S,
            ),
        ]

    def _memory(self) -> BudgetItem:
        parts = (
            ('members', self._value_at_target('members known, KiB')),
            ('records', self._value_at_target('answer records, KiB')),
            ('histograms', self._value_at_target('histograms, KiB')),
            ('decisions', self._value_at_target('record of decisions, KiB')),
            ('connections', self._added_at_target('entry, RSS KiB')),
            ('streams', self._added_at_target('entry, RSS KiB+')),
        )
        mib = tuple((name, kib / KIB_PER_MIB) for name, kib in parts)
        base = ('base', self.inputs.base_mib)
        return BudgetItem('memory, MiB', (base, *mib), MEMORY_LIMIT_MIB)

    def _added_at_target(self, name: str) -> float:
        """Return the increase from 0 to the target value of a series."""
        measured = self.series[name]
        return measured.line.slope * measured.target

    def _platform(self) -> BudgetItem:
        starts = self._value_at_target(
            'platform calls of a node in its first minutes'
        )
        terms = (
            ('waiting watches', WATCHING_NODES / WATCH_TIMEOUT_S),
            ('changes', WATCHING_NODES * self.size.changes_a_day / DAY_S),
            ('seeds', 1 / SEEDS_CHECK_INTERVAL_S),
            ('restarts', starts * self.size.restarts_a_day / DAY_S),
            (
                'rollouts',
                self.inputs.rollout_calls * ROLLOUTS_A_DAY / DAY_S,
            ),
        )
        return BudgetItem(
            'platform, calls/s of the fleet', terms, PLATFORM_LIMIT_CALLS_S
        )

    def _spread(self) -> BudgetItem:
        spread = self._value_at_target(
            'settings change in force on all, s (steps of 0.1)'
        )
        return BudgetItem(
            'settings in force on all, s', (('spread', spread),), SPREAD_LIMIT_S
        )
