"""Print tables for people and JSON for programs."""

import json
import re
import sys
from collections.abc import Iterable, Sequence
from typing import Any

RED = '31'
GREEN = '32'
YELLOW = '33'

_GAP = '  '
_COLOUR = re.compile(r'(\x1b\[(?:3[1-3]|0)m)')
_UNPRINTABLE = re.compile('[\x00-\x1f\x7f-\x9f\u2028-\u202e]')


def print_line(text: str) -> None:
    """Print one line of the result."""
    sys.stdout.write(f'{text}\n')


def print_progress(text: str) -> None:
    """Print one line for people that is no part of the result."""
    sys.stderr.write(f'{text}\n')


def print_json(content: Any) -> None:
    """Print a JSON value."""
    print_line(json.dumps(content, indent=2, sort_keys=True, default=str))


def print_table(head: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Print rows in columns as wide as their widest entry."""
    lines = [list(head), *([_shown(cell) for cell in row] for row in rows)]
    columns = list(zip(*lines, strict=True))
    widths = [max(map(len, column)) for column in columns]
    for line in lines:
        cells = zip(line, widths, strict=True)
        padded = [cell.ljust(width) for cell, width in cells]
        print_line(_GAP.join(padded).rstrip())


def _shown(cell: Any) -> str:
    """Return a cell without what could steer a terminal, but for colours.

    Names of tenants and calls come from callers.
    """
    parts = _COLOUR.split(str(cell))
    return ''.join(
        part if _COLOUR.fullmatch(part) else _UNPRINTABLE.sub('?', part)
        for part in parts
    )


def add_colour(text: str, colour: str) -> str:
    """Return a text in colour if a terminal shows it."""
    if not sys.stdout.isatty():
        return text
    return f'\033[{colour}m{text}\033[0m'
