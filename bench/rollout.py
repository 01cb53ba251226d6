"""Measure how well rollouts are judged: python -m bench.rollout."""

import statistics
import sys
import time
from collections import Counter
from collections.abc import Callable

import attrs

from bench.rollout_fleet import Call, Fault, Fleet
from daisyline.state.rollout_state import CallSample

RUNS = 20
GOOD_RUNS = 100
# Calls a second of a service with six upstreams.
RATE_OF_SIX = 200
TARGETS = 6
LATE_S = 60
COLD_S = 15
LOADED_SHARE = 0.4
POISON_EVERY_S = 10
POISON_UNTIL_S = 30
FIFTH = 0.2
FIFTIETH = 0.02
SLIGHTLY = 1.5
_OVERTIME = 1.6


def good(call: Call, sample: CallSample) -> CallSample:
    """Change nothing."""
    return sample


def fails(part: float) -> Fault:
    """Make the new version fail a part of its calls."""

    def fault(call: Call, sample: CallSample) -> CallSample:
        if call.is_new and call.rng.random() < part:
            return attrs.evolve(sample, succeeded=False)
        return sample

    return fault


def slow(factor: float) -> Fault:
    """Make the new version slower by a factor."""

    def fault(call: Call, sample: CallSample) -> CallSample:
        if not call.is_new:
            return sample
        return attrs.evolve(sample, service_us=int(sample.service_us * factor))

    return fault


def only(condition: Callable[[Call], bool], inner: Fault) -> Fault:
    """Apply a fault to some calls only."""

    def fault(call: Call, sample: CallSample) -> CallSample:
        return inner(call, sample) if condition(call) else sample

    return fault


def cold(call: Call, sample: CallSample) -> CallSample:
    """Let new targets be slow and shed calls in a cold start."""
    if not call.is_new or call.now > COLD_S:
        return sample
    slowed = slow(5)(call, fails(FIFTH)(call, sample))
    return attrs.evolve(slowed, cold=True)


def poison() -> Fault:
    """Crash new targets three times, each with all slots in use."""
    crashes = Counter[str]()

    def fault(call: Call, sample: CallSample) -> CallSample:
        due = POISON_EVERY_S * (crashes.total() + 1)
        if not call.is_new or call.now < due or due > POISON_UNTIL_S:
            return sample
        crashes[call.node] += 1
        return attrs.evolve(sample, succeeded=False, target_crashed=True)

    return fault


def noisy(call: Call) -> bool:
    """Return whether a call ran beside a noisy neighbour."""
    return call.node == 'node-0'


@attrs.frozen
class Case:
    """A fault, and whether the version is to be rolled back for it."""

    name: str
    make: Callable[[], Fault]
    is_bad: bool
    starts_s: float = 0


def cases() -> list[Case]:
    """Return what is measured."""

    def late(call: Call) -> bool:
        return call.now >= LATE_S

    def loaded(call: Call) -> bool:
        return call.new_load > LOADED_SHARE

    def one_route(call: Call) -> bool:
        return call.route == '/price'

    return [
        Case('good', lambda: good, is_bad=False),
        Case('cold for 15 s', lambda: cold, is_bad=False),
        Case('poison, 3 crashes', poison, is_bad=False),
        Case('noisy host, slow x3', lambda: only(noisy, slow(3)), is_bad=False),
        Case('noisy host, fails 20%', lambda: only(noisy, fails(FIFTH)), False),
        Case('fails 100%', lambda: fails(1), is_bad=True),
        Case('fails 20%', lambda: fails(FIFTH), is_bad=True),
        Case('fails 2%', lambda: fails(FIFTIETH), is_bad=True),
        Case('slow x3', lambda: slow(3), is_bad=True),
        Case('slow x1.5', lambda: slow(SLIGHTLY), is_bad=True),
        Case(
            'fails 20% after 60 s', lambda: only(late, fails(FIFTH)), True, 60
        ),
        Case('slow x3 after 60 s', lambda: only(late, slow(3)), True, 60),
        Case('fails 20% under load', lambda: only(loaded, fails(FIFTH)), True),
        Case('one route fails 50%', lambda: only(one_route, fails(0.5)), True),
        Case('one route slow x3', lambda: only(one_route, slow(3)), True),
    ]


@attrs.frozen
class Run:
    """How one rollout ended.

    Attributes:
        state: Done, rolled back, or moving if it ran out of time.
        seconds: When it ended.
        calls: Calls that met the fault until every node had the verdict.
    """

    state: str
    seconds: float
    calls: int


def run_once(case: Case, seed: int, rate: float, targets: int) -> Run:
    """Run one rollout to its end."""
    fleet = Fleet.from_config(seed, rate, targets)
    fault = case.make()
    met = [0]

    def counted(call: Call, sample: CallSample) -> CallSample:
        changed = fault(call, sample)
        met[0] += changed is not sample
        return changed

    fleet.run(counted, fleet.plan.finish_in_s * _OVERTIME)
    return Run(fleet.standing[0], fleet.now - case.starts_s, met[0])


def report(case: Case, runs: list[Run]) -> str:
    """Return one line of figures."""
    wanted = 'rolled-back' if case.is_bad else 'done'
    right = sum(run.state == wanted for run in runs)
    seconds = sorted(run.seconds for run in runs)
    longest = seconds[-1]
    calls = sorted(run.calls for run in runs)
    count = len(runs)
    cells = (
        case.name,
        f'{right} of {count} {wanted}',
        f'{statistics.median(seconds):.1f}',
        f'{longest:.1f}',
        f'{statistics.median(calls):.0f}',
        str(calls[-1]),
    )
    row = ' | '.join(cells)
    return f'| {row} |'


def main(
    runs: int = RUNS,
    good_runs: int = GOOD_RUNS,
    rate: int = RATE_OF_SIX,
    targets: int = TARGETS,
) -> None:
    """Print a table of rollouts that have 120 s to finish.

    Args:
        runs: Runs of each bad version.
        good_runs: Runs of each version that is to finish.
        rate: Calls a second.
        targets: Targets, half of them of the new version.
    """
    write = sys.stdout.write
    write('| case | outcome | s median | s max | calls median | max |\n')
    write('| --- | --- | --- | --- | --- | --- |\n')
    started = time.perf_counter()
    for case in cases():
        count = runs if case.is_bad else good_runs
        ended = [run_once(case, seed, rate, targets) for seed in range(count)]
        write(f'{report(case, ended)}\n')
        sys.stdout.flush()
    took_s = time.perf_counter() - started
    write(f'{took_s:.0f} s in all\n')


if __name__ == '__main__':
    main(*map(int, sys.argv[1:]))
