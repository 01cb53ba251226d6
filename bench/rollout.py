"""Measure how reliably and how fast bad versions are rolled back.

Run as `python -m bench.rollout`.
"""

import statistics
import sys
import time
from collections import Counter
from collections.abc import Callable

import attrs

from bench.rollout_fleet import Call, Fault, Fleet
from daisyline.state.rollout_state import CallSample

BAD_RUNS = 20
GOOD_RUNS = 100
# Calls per second of a service with six upstreams.
CALLS_PER_S = 200
TARGET_COUNT = 6
LATE_FAULT_S = 60
COLD_START_S = 15
LOADED_SHARE = 0.4
POISON_EVERY_S = 10
POISON_UNTIL_S = 30
HIGH_FAILURE_FRACTION = 0.2
LOW_FAILURE_FRACTION = 0.02
SLIGHT_SLOWDOWN_FACTOR = 1.5
_TIME_LIMIT_FACTOR = 1.6


def no_fault(call: Call, sample: CallSample) -> CallSample:
    """Return the sample unchanged."""
    return sample


def fail_calls(fraction: float) -> Fault:
    """Return a fault by which the new version fails a fraction of its calls."""

    def fault(call: Call, sample: CallSample) -> CallSample:
        if call.is_new and call.rng.random() < fraction:
            return attrs.evolve(sample, succeeded=False)
        return sample

    return fault


def slow_calls(factor: float) -> Fault:
    """Return a fault that multiplies the new version's service times."""

    def fault(call: Call, sample: CallSample) -> CallSample:
        if not call.is_new:
            return sample
        return attrs.evolve(sample, service_us=int(sample.service_us * factor))

    return fault


def when(condition: Callable[[Call], bool], inner: Fault) -> Fault:
    """Return a fault that applies only to calls that meet a condition."""

    def fault(call: Call, sample: CallSample) -> CallSample:
        return inner(call, sample) if condition(call) else sample

    return fault


def cold_start(call: Call, sample: CallSample) -> CallSample:
    """Make new targets slow and fail some calls during a cold start."""
    if not call.is_new or call.now > COLD_START_S:
        return sample
    slowed = slow_calls(5)(
        call, fail_calls(HIGH_FAILURE_FRACTION)(call, sample)
    )
    return attrs.evolve(slowed, cold=True)


def poison_requests() -> Fault:
    """Return a fault that crashes new targets three times under full load."""
    crashes = Counter[str]()

    def fault(call: Call, sample: CallSample) -> CallSample:
        crash_at = POISON_EVERY_S * (crashes.total() + 1)
        if not call.is_new or call.now < crash_at or crash_at > POISON_UNTIL_S:
            return sample
        crashes[call.node] += 1
        return attrs.evolve(sample, succeeded=False, target_crashed=True)

    return fault


def is_beside_noisy_neighbour(call: Call) -> bool:
    """Return whether a call ran on the host with a noisy neighbour."""
    return call.node == 'node-0'


@attrs.frozen
class Case:
    """A fault and the outcome that is correct for it.

    Attributes:
        name: Name of the case in the printed table.
        make_fault: Creates the fault for one run.
        is_bad: Whether the rollout must be rolled back.
        fault_starts_s: Virtual time at which the fault starts.
    """

    name: str
    make_fault: Callable[[], Fault]
    is_bad: bool
    fault_starts_s: float = 0


def cases() -> list[Case]:
    """Return the cases that are measured."""

    def late(call: Call) -> bool:
        return call.now >= LATE_FAULT_S

    def loaded(call: Call) -> bool:
        return call.new_load > LOADED_SHARE

    def one_route(call: Call) -> bool:
        return call.route == '/price'

    return [
        Case('good', lambda: no_fault, is_bad=False),
        Case('cold for 15 s', lambda: cold_start, is_bad=False),
        Case('poison, 3 crashes', poison_requests, is_bad=False),
        Case(
            'noisy host, slow x3',
            lambda: when(is_beside_noisy_neighbour, slow_calls(3)),
            is_bad=False,
        ),
        Case(
            'noisy host, fails 20%',
            lambda: when(
                is_beside_noisy_neighbour, fail_calls(HIGH_FAILURE_FRACTION)
            ),
            False,
        ),
        Case('fails 100%', lambda: fail_calls(1), is_bad=True),
        Case(
            'fails 20%', lambda: fail_calls(HIGH_FAILURE_FRACTION), is_bad=True
        ),
        Case('fails 2%', lambda: fail_calls(LOW_FAILURE_FRACTION), is_bad=True),
        Case('slow x3', lambda: slow_calls(3), is_bad=True),
        Case(
            'slow x1.5', lambda: slow_calls(SLIGHT_SLOWDOWN_FACTOR), is_bad=True
        ),
        Case(
            'fails 20% after 60 s',
            lambda: when(late, fail_calls(HIGH_FAILURE_FRACTION)),
            True,
            60,
        ),
        Case('slow x3 after 60 s', lambda: when(late, slow_calls(3)), True, 60),
        Case(
            'fails 20% under load',
            lambda: when(loaded, fail_calls(HIGH_FAILURE_FRACTION)),
            True,
        ),
        Case(
            'one route fails 50%',
            lambda: when(one_route, fail_calls(0.5)),
            True,
        ),
        Case('one route slow x3', lambda: when(one_route, slow_calls(3)), True),
    ]


@attrs.frozen
class RunResult:
    """The result of one rollout.

    Attributes:
        state: Done, rolled back, or moving if it ran out of time.
        seconds: Time from the start of the fault to the end of the rollout.
        calls: Calls that the fault changed before the rollout ended at the
            last node.
    """

    state: str
    seconds: float
    calls: int


def run_once(case: Case, seed: int, rate: float, targets: int) -> RunResult:
    """Run one rollout to its end."""
    fleet = Fleet.from_config(seed, rate, targets)
    fault = case.make_fault()
    affected = [0]

    def counted(call: Call, sample: CallSample) -> CallSample:
        changed = fault(call, sample)
        affected[0] += changed is not sample
        return changed

    fleet.run(counted, fleet.plan.finish_in_s * _TIME_LIMIT_FACTOR)
    return RunResult(
        fleet.last_status[0], fleet.now - case.fault_starts_s, affected[0]
    )


def format_row(case: Case, runs: list[RunResult]) -> str:
    """Return one row of the table in Markdown."""
    expected = 'rolled-back' if case.is_bad else 'done'
    expected_count = sum(run.state == expected for run in runs)
    seconds = sorted(run.seconds for run in runs)
    longest = seconds[-1]
    calls = sorted(run.calls for run in runs)
    count = len(runs)
    cells = (
        case.name,
        f'{expected_count} of {count} {expected}',
        f'{statistics.median(seconds):.1f}',
        f'{longest:.1f}',
        f'{statistics.median(calls):.0f}',
        str(calls[-1]),
    )
    row = ' | '.join(cells)
    return f'| {row} |'


def main(
    runs: int = BAD_RUNS,
    good_runs: int = GOOD_RUNS,
    rate: int = CALLS_PER_S,
    targets: int = TARGET_COUNT,
) -> None:
    """Print a table of rollouts that are planned to finish in 120 s.

    Args:
        runs: Number of runs of each bad version.
        good_runs: Number of runs of each version that must finish.
        rate: Calls per second.
        targets: Number of targets, half of them of the new version.
    """
    write = sys.stdout.write
    write('| case | outcome | s median | s max | calls median | max |\n')
    write('| --- | --- | --- | --- | --- | --- |\n')
    started = time.perf_counter()
    for case in cases():
        count = runs if case.is_bad else good_runs
        results = [run_once(case, seed, rate, targets) for seed in range(count)]
        write(f'{format_row(case, results)}\n')
        sys.stdout.flush()
    took_s = time.perf_counter() - started
    write(f'{took_s:.0f} s in all\n')


if __name__ == '__main__':
    main(*map(int, sys.argv[1:]))
