"""Compares one object of departures for each node with one for all nodes.

Run it with `python -m bench.departures`. Targets beside a number of nodes leave
at the same moment; the store answers each call after 5 to 15 ms.
"""

import functools
import heapq
import itertools
import math
import random
import statistics
import sys
from collections.abc import Iterator
from typing import Any

import attrs

from daisyline.coordination.departures.departure_events import DeparturesStored
from daisyline.coordination.departures.departure_record import (
    ACKNOWLEDGEMENT_WAIT_S,
    DepartureRecord,
)
from daisyline.coordination.effects import (
    PlatformRead,
    PlatformReply,
    PlatformWrite,
)

_NODE_COUNTS = (3, 12, 48)
_SEED_COUNT = 20
_LATENCY_S = (0.005, 0.015)
_MS_PER_S = 1000
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409


@attrs.define
class Departures:
    """Nodes that store a departure each, and their store.

    Attributes:
        rng: The source of random numbers.
        calls: The number of calls on the store.
        stored_at: When the store has told each node that it holds its
            departure, in seconds.
    """

    rng: random.Random
    calls: int = 0
    stored_at: list[float] = attrs.field(factory=list)
    _stored: dict[str, tuple[int, Any]] = attrs.field(factory=dict)
    _queue: list[tuple[float, int, Any, Any]] = attrs.field(factory=list)
    _order: Iterator[int] = attrs.field(factory=itertools.count)

    def run(self, names: list[str]) -> None:
        """Let a target leave beside each of the nodes at the same moment.

        Args:
            names: The name of the object of each node.
        """
        records = [
            DepartureRecord(name, self.rng, 0, 0, is_enabled=True)
            for name in names
        ]
        for number, record in enumerate(records):
            self._carry_out(record, record.add((f'i-{number}', 1), 0), 0)
        while self._queue:
            now, _, caller, answer = heapq.heappop(self._queue)
            effects = (
                caller.tick(now)
                if answer is None
                else caller.handle(answer(), now)
            )
            self._carry_out(caller, effects, now)

    def _carry_out(
        self, record: DepartureRecord, effects: list[Any], now: float
    ) -> None:
        for effect in effects:
            if isinstance(effect, DeparturesStored):
                self.stored_at.append(now)
            elif isinstance(effect, (PlatformRead, PlatformWrite)):
                self.calls += 1
                at = now + self.rng.uniform(*_LATENCY_S)
                answer = functools.partial(self._answer, effect)
                self._push(at, record, answer)
        if not effects and not math.isinf(record.next_at()):
            self._push(record.next_at(), record, None)

    def _push(self, at: float, record: DepartureRecord, answer: Any) -> None:
        entry = (at, next(self._order), record, answer)
        heapq.heappush(self._queue, entry)

    def _answer(self, effect: Any) -> PlatformReply:
        version, content = self._stored.get(effect.name, (0, None))
        if not isinstance(effect, PlatformWrite):
            status = _OK if version else _NOT_FOUND
            return PlatformReply(effect.token, status, version, content)
        if effect.version != version:
            return PlatformReply(effect.token, _CONFLICT)
        self._stored[effect.name] = (version + 1, effect.content)
        return PlatformReply(effect.token, _OK, version + 1)


def _report(label: str, names: list[str]) -> None:
    runs = [Departures(random.Random(seed)) for seed in range(_SEED_COUNT)]
    for played in runs:
        played.run(names)
    calls = sum(each.calls for each in runs) / len(runs) / len(names)
    times = [at for each in runs for at in each.stored_at]
    assert len(times) == len(runs) * len(names), 'a departure is not stored'
    late = sum(at > ACKNOWLEDGEMENT_WAIT_S for at in times)
    row = (
        f'{label}: {calls:.1f} calls each',
        f'stored after {_in_ms(statistics.median(times))} ms (median)',
        f'{_in_ms(max(times))} ms (longest)',
        f'{late} after the acknowledgement',
    )
    line = ', '.join(row)
    sys.stdout.write(f'{line}\n')


def _in_ms(seconds: float) -> int:
    return round(seconds * _MS_PER_S)


def main() -> None:
    """Print the calls and times of both ways."""
    for count in _NODE_COUNTS:
        names = [f'n{number}' for number in range(count)]
        _report(f'{count} nodes, an object each', names)
        _report(
            f'{count} nodes, one object', list(itertools.repeat('all', count))
        )


if __name__ == '__main__':
    main()
