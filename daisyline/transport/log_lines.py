"""A log of decisions: JSON lines on standard output, rate-limited.

Writes never block the loop.
"""

import functools
import json
import os
import time
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from daisyline.coordination.events import Event
from daisyline.transport.loop import Loop

# Limits of lines about single calls and about anything else. A call causes six
# lines, so 300 lines cover 50 calls/s in full. The capacity target of a node is
# 155 calls/s, of which then a third is logged.
MAX_CALL_LINES_PER_S = 300
MAX_OTHER_LINES_PER_S = 100
# Buffer for a slow reader of the output; lines that exceed it are dropped.
MAX_BUFFERED_BYTES = 262_144
_RETRY_DELAY_S = 0.05
_STDOUT = 1


class LineWriter:
    """Writes whole lines without blocking.

    Attributes:
        lost_lines: Number of lines that were buffered but could not be written.
    """

    def __init__(self, loop: Loop, fileno: int = _STDOUT) -> None:
        """Take a file descriptor and make it non-blocking."""
        os.set_blocking(fileno, False)
        self._loop = loop
        self._fileno = fileno
        self._buffer = bytearray()
        self._is_flush_scheduled = False
        self.lost_lines = 0

    def write(self, line: str) -> bool:
        """Buffer one line; return False if the buffer has no room for it."""
        octets = f'{line}\n'.encode(errors='replace')
        if len(self._buffer) + len(octets) > MAX_BUFFERED_BYTES:
            return False
        self._buffer += octets
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._loop.defer(self._flush)
        return True

    def flush(self) -> None:
        """Write what the descriptor accepts now, before the process ends."""
        self._flush()

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        try:
            written = os.write(self._fileno, self._buffer)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed its end; the node continues without a log.
            self.lost_lines += self._buffer.count(b'\n')
            self._buffer.clear()
            return
        self._buffer = self._buffer[written:]
        if self._buffer:
            self._is_flush_scheduled = True
            self._loop.call_later(_RETRY_DELAY_S, self._flush)


@attrs.define
class _LineBudget:
    """A limit on the lines of one kind in each second."""

    per_s: int
    _second: int = 0
    _left: int = 0

    def take_line(self, now: float) -> bool:
        """Count a line; return whether it is within the limit."""
        second = int(now)
        if second != self._second:
            self._second = second
            self._left = self.per_s
        self._left -= 1
        return self._left >= 0


class DecisionLog:
    """Writes the events of a node's decisions as JSON lines.

    Each line has the time in seconds since 1970, the node, the kind of event
    and the values that led to the decision. Lines beyond the limit of a second
    are omitted; the next line has their number in `lines_left_out`.
    """

    def __init__(self, writer: LineWriter, node: str) -> None:
        """Log the decisions of the node of this name."""
        self._writer = writer
        self._node = node
        self._omitted_lines = 0
        self._budgets = (
            _LineBudget(MAX_OTHER_LINES_PER_S),
            _LineBudget(MAX_CALL_LINES_PER_S),
        )

    def record_event(self, event: Event) -> None:
        """Write an event unless the limit of this second is reached."""
        if not self._budgets[bool(event.call)].take_line(event.at):
            self._omitted_lines += 1
            return
        self.write_line(type(event).__name__, _field_reader(type(event))(event))

    def write_line(self, kind: str, fields: Mapping[str, Any]) -> None:
        """Write a line regardless of the limits per second."""
        line: dict[str, Any] = {
            'time': round(time.time(), 4),
            'at_node': self._node,
            'event': kind,
        }
        line.update(
            (name, field)
            for name, field in fields.items()
            if field not in {'', None}
        )
        omitted_lines = self._omitted_lines + self._writer.lost_lines
        if omitted_lines:
            line['lines_left_out'] = omitted_lines
        if self._writer.write(json.dumps(line, default=str)):
            self._omitted_lines = 0
            self._writer.lost_lines = 0
        else:
            self._omitted_lines += 1

    def flush(self) -> None:
        """Write the buffered lines, before the process ends."""
        self._writer.flush()

    def write_message(self, level: str, text: str) -> None:
        """Write a log message of the given level."""
        self.write_line('message', {'level': level, 'text': text})


@functools.cache
def _field_reader(kind: type[Event]) -> Callable[[Event], dict[str, Any]]:
    names = [field.name for field in attrs.fields(kind) if field.name != 'at']

    def fields(event: Event) -> dict[str, Any]:
        return {name: getattr(event, name) for name in names}

    return fields
