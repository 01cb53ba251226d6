"""Prints results as tables or as JSON."""

import json
import re
import sys
from collections.abc import Iterable, Sequence
from typing import Any

RED = '31'
GREEN = '32'
YELLOW = '33'

_COLUMN_GAP = '  '
_COLOUR_SEQUENCE = re.compile(r'(\x1b\[(?:3[1-3]|0)m)')
_UNPRINTABLE = re.compile('[\x00-\x1f\x7f-\x9f\u2028-\u202e]')


def print_line(text: str) -> None:
    """Print one line of the result to stdout."""
    sys.stdout.write(f'{text}\n')


def print_progress(text: str) -> None:
    """Print one line that is not part of the result to stderr."""
    sys.stderr.write(f'{text}\n')


def print_json(content: Any) -> None:
    """Print a value as indented JSON."""
    print_line(json.dumps(content, indent=2, sort_keys=True, default=str))


def print_table(head: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Print rows in columns, each as wide as its widest cell."""
    lines = [list(head), *([_printable(cell) for cell in row] for row in rows)]
    columns = list(zip(*lines, strict=True))
    widths = [max(map(len, column)) for column in columns]
    for line in lines:
        cells = zip(line, widths, strict=True)
        padded = [cell.ljust(width) for cell, width in cells]
        print_line(_COLUMN_GAP.join(padded).rstrip())


def _printable(cell: Any) -> str:
    """Return a cell's text without control characters, except for colours.

    Names of tenants and calls come from callers and could otherwise send
    control sequences to the operator's terminal.
    """
    parts = _COLOUR_SEQUENCE.split(str(cell))
    return ''.join(
        part
        if _COLOUR_SEQUENCE.fullmatch(part)
        else _UNPRINTABLE.sub('?', part)
        for part in parts
    )


def add_colour(text: str, colour: str) -> str:
    """Return a text with colour codes if stdout is a terminal.

    Args:
        text: The text.
        colour: The ANSI code of the colour: `RED`, `GREEN` or `YELLOW`.
    """
    if not sys.stdout.isatty():
        return text
    return f'\033[{colour}m{text}\033[0m'
