"""Set logging up: short sentences on stderr, a fixed prefix for each part."""

import sys
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from loguru import logger

if TYPE_CHECKING:
    from loguru import Logger

_PART = 'part'
_PLAIN = '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {extra[part]}: {message}'


def configure(level: str, json: bool) -> None:
    """Write log records to stderr.

    Args:
        level: The least level that is written.
        json: Whether a record is one JSON object a line.
    """
    logger.remove()
    logger.configure(extra={_PART: 'node'})
    # Tracebacks with the values of variables could show callers' bodies.
    logger.add(
        sys.stderr,
        level=level,
        format=_PLAIN,
        serialize=json,
        colorize=False,
        backtrace=False,
        diagnose=False,
    )


def redirect_to(write: Callable[[str, str], None]) -> None:
    """Hand each record's level and sentence to a function, and to no other."""

    def sink(message: Any) -> None:
        record = message.record
        write(record['level'].name, record['message'])

    logger.remove()
    logger.configure(extra={_PART: 'node'})
    logger.add(sink, level='INFO', format='{message}', catch=True)


def logger_for(part: str) -> 'Logger':
    """Return the logger whose lines begin with the part's name."""
    return logger.bind(**{_PART: part})
