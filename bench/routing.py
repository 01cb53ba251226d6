"""Compare routing policies under scenarios and sizes; print a table."""

import argparse
import sys
from collections.abc import Iterator

from bench.model import scenarios
from bench.model.fleet import Fleet, Size
from daisyline.coordination import policies

PERCENTILES = (50, 99, 99.9)
SIZES = (
    Size('today', upstreams=6, slots=9, entries=9, load=0.7, seconds=6),
    Size('target', upstreams=19, slots=9, entries=1100, load=0.7, seconds=3),
)
SCENARIOS = (
    ('steady', scenarios.Steady()),
    ('bursts', scenarios.Bursts()),
    ('noisy', scenarios.Noisy()),
    ('cold', scenarios.Cold()),
    ('all-cold', scenarios.Cold(every=1)),
    ('fails-fast', scenarios.FailsFast()),
    ('one-zone', scenarios.OneZone()),
)
FAR_MS = 1.8
POLICIES = (
    ('random', policies.WeightedRandom(), 0),
    ('outstanding', policies.LeastOutstanding(), 0),
    ('two-choices', policies.PowerOfTwo(), 0),
    ('wait-2', policies.ExpectedWait(draws=2), 0),
    ('wait-3', policies.ExpectedWait(draws=3), 0),
    ('wait-6', policies.ExpectedWait(draws=6), 0),
    ('wait-2-near', policies.ExpectedWait(draws=2), FAR_MS),
    ('wait-3-near', policies.ExpectedWait(draws=3), FAR_MS),
)
HEADER = (
    'size    scenario    policy         p50 ms   p99 ms p99.9 ms'
    '  refused  failed  tries  overloads'
)


def main() -> int:
    """Run what the flags ask for and print a line for each run."""
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
    for size in SIZES:
        for scenario_name, scenario in SCENARIOS:
            for policy_name, policy, far_ms in POLICIES:
                named = (
                    (flags.size, size.name),
                    (flags.scenario, scenario_name),
                    (flags.policy, policy_name),
                )
                if all(not want or want == name for want, name in named):
                    fleet = Fleet.from_size(
                        size, scenario, policy, far_ms, flags.seed
                    )
                    yield _row((size.name, scenario_name, policy_name), fleet)


def _row(names: tuple[str, str, str], fleet: Fleet) -> str:
    tally = fleet.run()
    times = ' '.join(
        f'{tally.percentile_ms(percent):8.1f}' for percent in PERCENTILES
    )
    labels = f'{names[0]:7} {names[1]:11} {names[2]:12}'
    refused = tally.refused / tally.offered
    failed = tally.failed / tally.offered
    tries = tally.attempts / tally.offered
    return (
        f'{labels} {times} {refused:8.2%} {failed:7.2%}'
        f' {tries:6.3f} {fleet.overloaded:10}'
    )


if __name__ == '__main__':
    sys.exit(main())
