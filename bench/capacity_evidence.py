"""Slopes of the collection of rollout evidence and of its judgement."""

import random
import time

import attrs

from bench import rollout_fleet
from bench.capacity_fit import Series, TargetSize
from daisyline.coordination.effects import (
    PlatformRead,
    PlatformReply,
    PlatformWrite,
)
from daisyline.coordination.rollouts.evidence import (
    LARGE_FLEET_INTERVAL_S,
    Collector,
)
from daisyline.coordination.rollouts.evidence_messages import Evidence
from daisyline.coordination.rollouts.rollout_judge import Judge
from daisyline.protocol.frames import FrameEncoder
from daisyline.state.rollout_plan import RolloutPlan
from daisyline.state.rollout_state import CallSample

TARGET_COUNTS = (6, 12, 19, 38)
CALL_RATES = (50, 100, 200, 400)
UPSTREAMS_PER_SERVICE = 19
INTERVAL_COUNT = 5
ROLLOUT_DURATION_S = 120.0
ROLLOUT_CALLS_PER_S = 200.0
FAILURE_FRACTION = 0.001
US_PER_S = 1_000_000
_PLAN = RolloutPlan('docs', 'r1', 'v1', 'v2', ROLLOUT_DURATION_S)


@attrs.define
class JudgeFigures:
    """Costs of evidence and judging, summed over intervals of one service.

    Attributes:
        sent_bytes: Encoded size of the messages to the judge.
        messages: Number of these messages.
        record_us: Processor time of recording calls at the targets' nodes.
        add_us: Processor time of adding evidence at the judge.
        evaluate_us: Processor time of evaluating the evidence.
        samples: Number of recorded calls.
    """

    sent_bytes: int = 0
    messages: int = 0
    record_us: float = 0
    add_us: float = 0
    evaluate_us: float = 0
    samples: int = 0

    @classmethod
    def measure(cls, targets: int, rate: float) -> 'JudgeFigures':
        """Measure targets that each run calls at a rate, and one judge."""
        figures = cls()
        rng = random.Random(1)
        judge = Judge.from_plan(_PLAN)
        collectors = [
            Collector.from_config(f'n{number}', rng)
            for number in range(targets)
        ]
        for interval in range(1, INTERVAL_COUNT + 1):
            now = interval * LARGE_FLEET_INTERVAL_S
            messages = figures.collect_evidence(collectors, rate, rng, now)
            figures.judge_evidence(judge, messages)
        return figures

    @property
    def intervals_per_s(self) -> float:
        """Return the factor from a sum over all intervals to a second."""
        return 1 / (INTERVAL_COUNT * LARGE_FLEET_INTERVAL_S)

    @property
    def judge_us_s(self) -> float:
        """Return the judge's processor time, in microseconds per second."""
        return (self.add_us + self.evaluate_us) * self.intervals_per_s

    @property
    def judge_bytes_s(self) -> float:
        """Return the bytes per second that are sent to a judge."""
        return self.sent_bytes * self.intervals_per_s

    @property
    def message_bytes(self) -> float:
        """Return the mean size of a message, in bytes."""
        return self.sent_bytes / self.messages

    @property
    def record_call_us(self) -> float:
        """Return the processor time of recording one call, in us."""
        return self.record_us / self.samples

    def collect_evidence(
        self,
        collectors: list[Collector],
        rate: float,
        rng: random.Random,
        now: float,
    ) -> list[Evidence]:
        """Record the calls of one interval and return the evidence."""
        count = int(rate * LARGE_FLEET_INTERVAL_S)
        messages = []
        for number, collector in enumerate(collectors):
            samples = [_sample(number, rng) for _ in range(count)]
            started_at = time.process_time()
            for sample in samples:
                collector.record_call(sample, now)
            self.record_us += (time.process_time() - started_at) * US_PER_S
            self.samples += count
            messages.append(collector.take_evidence(_PLAN))
        return messages

    def judge_evidence(self, judge: Judge, messages: list[Evidence]) -> None:
        """Add evidence to a judge and evaluate it."""
        encoder = FrameEncoder()
        self.messages += len(messages)
        self.sent_bytes += sum(
            len(encoder.encode(message)) for message in messages
        )
        started_at = time.process_time()
        for evidence in messages:
            judge.add(evidence)
        added_at = time.process_time()
        judge.evaluate()
        self.add_us += (added_at - started_at) * US_PER_S
        self.evaluate_us += (time.process_time() - added_at) * US_PER_S


@attrs.define
class CountingPlatform(rollout_fleet.Platform):
    """A platform that counts the calls to it."""

    calls: int = 0

    def answer(self, effect: PlatformRead | PlatformWrite) -> PlatformReply:
        """Carry out and count a read or a write."""
        self.calls += 1
        return super().answer(effect)


def measure_evidence() -> list[Series]:
    """Return the costs of evidence and judging by targets and by calls."""
    by_targets = [
        (count, JudgeFigures.measure(count, TargetSize().node_calls_s))
        for count in TARGET_COUNTS
    ]
    by_rate = [
        (rate, JudgeFigures.measure(UPSTREAMS_PER_SERVICE, rate))
        for rate in CALL_RATES
    ]
    node_calls_s = TargetSize().node_calls_s
    return [
        _series(
            'judge, us/s',
            'targets',
            by_targets,
            'judge_us_s',
            UPSTREAMS_PER_SERVICE,
        ),
        _series(
            'judge, bytes/s',
            'targets',
            by_targets,
            'judge_bytes_s',
            UPSTREAMS_PER_SERVICE,
        ),
        _series(
            'evidence, bytes', 'calls/s', by_rate, 'message_bytes', node_calls_s
        ),
        _series(
            'counting, us/call',
            'calls/s',
            by_rate,
            'record_call_us',
            node_calls_s,
        ),
    ]


def measure_rollout_calls() -> tuple[int, int, float]:
    """Return platform calls, writes and duration in s of a good rollout."""
    fleet = rollout_fleet.Fleet.from_config(1, ROLLOUT_CALLS_PER_S)
    platform = CountingPlatform()
    fleet.platform = platform
    fleet.run(lambda _call, sample: sample, ROLLOUT_DURATION_S)
    return platform.calls, platform.writes, fleet.now


def _series(
    name: str,
    axis: str,
    measured: list[tuple[int, JudgeFigures]],
    field: str,
    target: float,
) -> Series:
    points = tuple((at, getattr(figures, field)) for at, figures in measured)
    return Series(name, axis, points, target)


def _sample(number: int, rng: random.Random) -> CallSample:
    routes = rollout_fleet.ROUTES
    weights = rollout_fleet.ROUTE_WEIGHTS
    return CallSample(
        _PLAN.service,
        _PLAN.new if number % 2 else _PLAN.old,
        f'n{number}-1',
        rng.choices(routes, weights)[0],
        rng.random() >= FAILURE_FRACTION,
        int(
            rng.lognormvariate(
                rollout_fleet.BASE_LOG_US, rollout_fleet.BASE_LOG_SPREAD
            )
        ),
    )
