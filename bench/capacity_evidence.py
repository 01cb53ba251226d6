"""Slopes of evidence about a new version, and of judging it."""

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
from daisyline.coordination.evidence import (
    LARGE_FLEET_INTERVAL_S,
    Collector,
)
from daisyline.coordination.evidence_messages import Evidence
from daisyline.coordination.rollout_judge import Judge
from daisyline.protocol.frames import FrameEncoder
from daisyline.state.rollout_plan import RolloutPlan
from daisyline.state.rollout_state import CallSample

TARGET_COUNTS = (6, 12, 19, 38)
RATES = (50, 100, 200, 400)
OF_SERVICE = 19
INTERVALS = 5
FINISH_S = 120.0
ROLLOUT_RATE = 200.0
FAILED_PART = 0.001
US_PER_S = 1_000_000
_PLAN = RolloutPlan('docs', 'r1', 'v1', 'v2', FINISH_S)


@attrs.define
class JudgeFigures:
    """Sums over a few intervals of one service."""

    octets: int = 0
    messages: int = 0
    observe_us: float = 0
    add_us: float = 0
    evaluate_us: float = 0
    samples: int = 0

    @classmethod
    def measure(cls, targets: int, rate: float) -> 'JudgeFigures':
        """Let targets run calls at a rate each, and one judge judge them."""
        figures = cls()
        rng = random.Random(1)
        judge = Judge.from_plan(_PLAN)
        collectors = [
            Collector.from_config(f'n{number}', rng)
            for number in range(targets)
        ]
        for interval in range(1, INTERVALS + 1):
            now = interval * LARGE_FLEET_INTERVAL_S
            taken = figures.collect(collectors, rate, rng, now)
            figures.judge(judge, taken)
        return figures

    @property
    def per_s(self) -> float:
        """Return the intervals' part in a second."""
        return 1 / (INTERVALS * LARGE_FLEET_INTERVAL_S)

    @property
    def judge_us_s(self) -> float:
        """Return a judge's processor time a second."""
        return (self.add_us + self.evaluate_us) * self.per_s

    @property
    def judge_bytes_s(self) -> float:
        """Return what a judge is sent a second."""
        return self.octets * self.per_s

    @property
    def message_bytes(self) -> float:
        """Return the mean size of a message."""
        return self.octets / self.messages

    @property
    def observe_call_us(self) -> float:
        """Return what counting takes for one call."""
        return self.observe_us / self.samples

    def collect(
        self,
        collectors: list[Collector],
        rate: float,
        rng: random.Random,
        now: float,
    ) -> list[Evidence]:
        """Count the calls of one interval; return the messages."""
        count = int(rate * LARGE_FLEET_INTERVAL_S)
        taken = []
        for number, collector in enumerate(collectors):
            samples = [_sample(number, rng) for _ in range(count)]
            began = time.process_time()
            for sample in samples:
                collector.record_call(sample, now)
            self.observe_us += (time.process_time() - began) * US_PER_S
            self.samples += count
            taken.append(collector.take_evidence(_PLAN))
        return taken

    def judge(self, judge: Judge, taken: list[Evidence]) -> None:
        """Send the messages to a judge and let it compare."""
        encoder = FrameEncoder()
        self.messages += len(taken)
        self.octets += sum(len(encoder.encode(sent)) for sent in taken)
        began = time.process_time()
        for evidence in taken:
            judge.add(evidence)
        added = time.process_time()
        judge.evaluate()
        self.add_us += (added - began) * US_PER_S
        self.evaluate_us += (time.process_time() - added) * US_PER_S


@attrs.define
class CountingPlatform(rollout_fleet.Platform):
    """A platform that counts its calls."""

    calls: int = 0

    def answer(self, effect: PlatformRead | PlatformWrite) -> PlatformReply:
        """Carry out a read or a write."""
        self.calls += 1
        return super().answer(effect)


def slopes() -> list[Series]:
    """Return what evidence and judging cost, by targets and by calls."""
    sized = [
        (count, JudgeFigures.measure(count, TargetSize().node_calls_s))
        for count in TARGET_COUNTS
    ]
    rated = [(rate, JudgeFigures.measure(OF_SERVICE, rate)) for rate in RATES]
    node_calls_s = TargetSize().node_calls_s
    return [
        _series('judge, us/s', 'targets', sized, 'judge_us_s', OF_SERVICE),
        _series(
            'judge, bytes/s', 'targets', sized, 'judge_bytes_s', OF_SERVICE
        ),
        _series(
            'evidence, bytes', 'calls/s', rated, 'message_bytes', node_calls_s
        ),
        _series(
            'counting, us/call',
            'calls/s',
            rated,
            'observe_call_us',
            node_calls_s,
        ),
    ]


def rollout_calls() -> tuple[int, int, float]:
    """Return platform calls and writes of a good rollout, and its seconds."""
    fleet = rollout_fleet.Fleet.from_config(1, ROLLOUT_RATE)
    platform = CountingPlatform()
    fleet.platform = platform
    fleet.run(lambda _call, sample: sample, FINISH_S)
    return platform.calls, platform.writes, fleet.now


def _series(
    name: str,
    axis: str,
    measured: list[tuple[int, JudgeFigures]],
    field: str,
    target: float,
) -> Series:
    points = tuple((at, getattr(seen, field)) for at, seen in measured)
    return Series(name, axis, points, target)


def _sample(number: int, rng: random.Random) -> CallSample:
    routes = rollout_fleet.ROUTES
    weights = rollout_fleet.ROUTE_WEIGHTS
    return CallSample(
        _PLAN.service,
        _PLAN.new if number % 2 else _PLAN.old,
        f'n{number}-1',
        rng.choices(routes, weights)[0],
        rng.random() >= FAILED_PART,
        int(
            rng.lognormvariate(
                rollout_fleet.BASE_LOG_US, rollout_fleet.BASE_LOG_SPREAD
            )
        ),
    )
