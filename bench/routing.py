"""Compare routing policies by scenario and fleet size; print a table."""

import argparse
import itertools
import sys
from collections.abc import Iterator

from bench.model import scenarios
from bench.model.fleet import Fleet, Size
from daisyline.coordination.routing import policies

PERCENTILES = (50, 99, 99.9)
LOAD = 0.7
CURRENT_SIZE = Size(
    'today', upstreams=6, slots=9, entries=9, load_fraction=LOAD, seconds=6
)
TARGET_UPSTREAMS = 19
TARGET_ENTRIES = 1100
TARGET_SIZE = Size(
    'target',
    upstreams=TARGET_UPSTREAMS,
    slots=9,
    entries=TARGET_ENTRIES,
    load_fraction=LOAD,
    seconds=3,
)
SCENARIOS = (
    ('steady', scenarios.Steady()),
    ('bursts', scenarios.Bursts()),
    ('noisy', scenarios.Noisy()),
    ('cold', scenarios.Cold()),
    ('overload', scenarios.Overload()),
    ('all-cold', scenarios.Cold(one_in=1)),
    ('fails-fast', scenarios.FailsFast()),
    ('one-zone', scenarios.OneZone()),
)
REMOTE_PENALTY_MS = 1.8
POLICIES = (
    ('random', policies.WeightedRandom(), 0),
    ('outstanding', policies.LeastOutstanding(), 0),
    ('two-choices', policies.PowerOfTwo(), 0),
    ('wait-2', policies.ExpectedWait(sample_size=2), 0),
    ('wait-3', policies.ExpectedWait(sample_size=3), 0),
    ('wait-6', policies.ExpectedWait(sample_size=6), 0),
    ('wait-2-near', policies.ExpectedWait(sample_size=2), REMOTE_PENALTY_MS),
    ('wait-3-near', policies.ExpectedWait(sample_size=3), REMOTE_PENALTY_MS),
)
LABEL_WIDTH = 11
CELL_WIDTH = 8
HEADER = (
    'size        scenario    policy        p50 ms   p99 ms p99.9 ms'
    '  refused   failed    tries overload'
)


def main() -> int:
    """Run the combinations selected by the flags and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--size', default='')
    parser.add_argument('--scenario', default='')
    parser.add_argument('--policy', default='')
    flags = parser.parse_args()
    sys.stdout.write(f'{HEADER}\n')
    for line in _lines(flags):
        sys.stdout.write(f'{line}\n')
        sys.stdout.flush()
    return 0


def _lines(flags: argparse.Namespace) -> Iterator[str]:
    selected = (flags.size, flags.scenario, flags.policy)
    runs = itertools.product((CURRENT_SIZE, TARGET_SIZE), SCENARIOS, POLICIES)
    for size, (scenario_name, scenario), (policy_name, *router) in runs:
        names = (size.name, scenario_name, policy_name)
        if _is_selected(names, selected):
            yield _row(
                names, Fleet.from_size(size, scenario, *router, flags.seed)
            )


def _is_selected(names: tuple[str, ...], selected: tuple[str, ...]) -> bool:
    pairs = zip(names, selected, strict=True)
    return all(not want or want == name for name, want in pairs)


def _row(names: tuple[str, ...], fleet: Fleet) -> str:
    tally = fleet.run()
    times = [tally.percentile_ms(percent) for percent in PERCENTILES]
    refused = tally.refused / tally.offered
    failed = tally.failed / tally.offered
    tries = tally.attempts / tally.offered
    columns = [
        *(name.ljust(LABEL_WIDTH) for name in names),
        *(_cell(time_ms, '.1f') for time_ms in times),
        _cell(refused, '.2%'),
        _cell(failed, '.2%'),
        _cell(tries, '.3f'),
        _cell(fleet.overloaded_calls, 'd'),
    ]
    return ' '.join(columns)


def _cell(number: float, form: str) -> str:
    return format(number, form).rjust(CELL_WIDTH)


if __name__ == '__main__':
    sys.exit(main())
