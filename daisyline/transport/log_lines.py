"""Decisions as JSON lines on standard output, bounded and never blocking."""

import functools
import json
import os
import time
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from daisyline.coordination.events import Event
from daisyline.transport.loop import Loop

# Lines about single calls, and about anything else, in any second. Six lines
# tell of a call, so this covers 50 calls/s whole; the target's figure for a
# node is 155, of which then each third is told of.
MAX_CALL_LINES_PER_S = 300
MAX_OTHER_LINES_PER_S = 100
# What waits while the reader of the output is slow; lines beyond are dropped.
MAX_WAITING_BYTES = 262_144
_RETRY_S = 0.05
_STDOUT = 1


class LineWriter:
    """Writes whole lines without ever waiting for their reader.

    Attributes:
        lost: Lines that were taken and then couldn't be written.
    """

    def __init__(self, loop: Loop, fileno: int = _STDOUT) -> None:
        """Take a descriptor over; it no longer blocks."""
        os.set_blocking(fileno, False)
        self._loop = loop
        self._fileno = fileno
        self._waiting = bytearray()
        self._scheduled = False
        self.lost = 0

    def write(self, line: str) -> bool:
        """Take one line to be written; return whether there is room for it."""
        octets = f'{line}\n'.encode(errors='replace')
        if len(self._waiting) + len(octets) > MAX_WAITING_BYTES:
            return False
        self._waiting += octets
        if not self._scheduled:
            self._scheduled = True
            self._loop.defer(self._flush)
        return True

    def flush(self) -> None:
        """Write what the descriptor takes now, before the process ends."""
        self._flush()

    def _flush(self) -> None:
        self._scheduled = False
        try:
            written = os.write(self._fileno, self._waiting)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads any more; the decisions must go on.
            self.lost += self._waiting.count(b'\n')
            self._waiting.clear()
            return
        self._waiting = self._waiting[written:]
        if self._waiting:
            self._scheduled = True
            self._loop.call_later(_RETRY_S, self._flush)


@attrs.define
class _Budget:
    """How many lines of one sort are still written in this second."""

    per_s: int
    _second: int = 0
    _left: int = 0

    def takes(self, now: float) -> bool:
        """Count a line; return whether it may be written."""
        second = int(now)
        if second != self._second:
            self._second = second
            self._left = self.per_s
        self._left -= 1
        return self._left >= 0


class DecisionLog:
    """Writes the events of a node's decisions as JSON lines.

    Each line has the time in seconds since 1970, the node, what happened and
    the figures that decided it. What exceeds the budget of a second is left
    out; the next line says how much that was.
    """

    def __init__(self, writer: LineWriter, node: str) -> None:
        """Name the node whose decisions these are."""
        self._writer = writer
        self._node = node
        self._left_out = 0
        self._budgets = (
            _Budget(MAX_OTHER_LINES_PER_S),
            _Budget(MAX_CALL_LINES_PER_S),
        )

    def record_event(self, event: Event) -> None:
        """Write an event, if there is room for it."""
        if not self._budgets[bool(event.call)].takes(event.at):
            self._left_out += 1
            return
        self.write_line(type(event).__name__, _fields_of(type(event))(event))

    def write_line(self, what: str, figures: Mapping[str, Any]) -> None:
        """Write a line in any case."""
        line: dict[str, Any] = {
            'time': round(time.time(), 4),
            'at_node': self._node,
            'event': what,
        }
        line.update(
            (name, figure)
            for name, figure in figures.items()
            if figure not in {'', None}
        )
        left_out = self._left_out + self._writer.lost
        if left_out:
            line['lines_left_out'] = left_out
        if self._writer.write(json.dumps(line, default=str)):
            self._left_out = 0
            self._writer.lost = 0
        else:
            self._left_out += 1

    def flush(self) -> None:
        """Write what waits, before the process ends."""
        self._writer.flush()

    def write_message(self, level: str, text: str) -> None:
        """Write a sentence for people."""
        self.write_line('message', {'level': level, 'text': text})


@functools.cache
def _fields_of(kind: type[Event]) -> Callable[[Event], dict[str, Any]]:
    names = [field.name for field in attrs.fields(kind) if field.name != 'at']

    def fields(event: Event) -> dict[str, Any]:
        return {name: getattr(event, name) for name in names}

    return fields
