"""Compare ways of blocking requests that crash their targets; print a table."""

import random
import sys

from bench.model.crashes import Model, Way
from daisyline.coordination.calls import crash_history

SEEDS = 60
WAYS = (
    ('each crash counts (before)', Way(sole=2)),
    ('each counts, later answers', Way(sole=2, later_answers=True)),
    ('reports within 1 s are one', Way(sole=2, together_s=1)),
    ('chain of two', Way(chain=2, later_answers=True)),
    (
        'chain of two or 3 crashes',
        Way(
            chain=crash_history.MIN_SOLE_CHAIN,
            crashes=crash_history.MIN_CRASHES,
            later_answers=True,
        ),
    ),
    (
        'the same, suspects reported at once',
        Way(
            chain=crash_history.MIN_SOLE_CHAIN,
            crashes=crash_history.MIN_CRASHES,
            later_answers=True,
            reports_suspects_at_once=True,
        ),
    ),
    (
        'the same, 2 retrials (now)',
        Way(
            chain=crash_history.MIN_SOLE_CHAIN,
            crashes=crash_history.MIN_CRASHES,
            later_answers=True,
            reports_suspects_at_once=True,
            retrials=crash_history.RETRIAL_DELAYS_S,
        ),
    ),
)
_COLUMN_WIDTH = 10
_INCIDENT_WIDTH = 15
_LABEL_WIDTH = 52
INCIDENTS = ('none', 'zone', 'rack', 'version')


def main() -> int:
    """Play each incident with each way on the same seeds.

    Returns:
        The exit code, always 0.
    """
    names = ('blocks', 'blocked s', 'refused', 'crashes', 'late', 'most late')
    header = ''.join(name.rjust(_COLUMN_WIDTH) for name in names)
    label = 'incident, way'.ljust(_LABEL_WIDTH)
    sys.stdout.write(f'{label}{header}\n')
    for incident in INCIDENTS:
        for has_poison in (False, True):
            for name, way in WAYS:
                _write_row(incident, has_poison, name, way)
    return 0


def _write_row(incident: str, has_poison: bool, name: str, way: Way) -> None:
    models = [
        Model(way, random.Random(seed), incident, has_poison)
        for seed in range(SEEDS)
    ]
    for model in models:
        model.run()
    late_runs = [played.late_runs for played in models]
    sums = (
        sum(played.false_blocks for played in models),
        round(sum(played.blocked_s for played in models)),
        sum(played.refused for played in models),
        sum(played.poison_crashes for played in models),
        sum(late_runs),
        max(late_runs),
    )
    row = ''.join(str(total).rjust(_COLUMN_WIDTH) for total in sums)
    poison = 'poison' if has_poison else ''
    label = f'{incident} {poison}'.ljust(_INCIDENT_WIDTH) + name
    sys.stdout.write(f'{label.ljust(_LABEL_WIDTH)}{row}\n')


if __name__ == '__main__':
    sys.exit(main())
