"""Set up logging to stderr, with the name of the component on each line."""

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
        level: The lowest level that is written.
        json: Whether each record is written as a JSON object on one line.
    """
    logger.remove()
    logger.configure(extra={_PART: 'node'})
    # Values of variables in tracebacks could disclose bodies of callers.
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
    """Pass the level and message of each record to a function only."""

    def sink(message: Any) -> None:
        record = message.record
        write(record['level'].name, record['message'])

    logger.remove()
    logger.configure(extra={_PART: 'node'})
    logger.add(sink, level='INFO', format='{message}', catch=True)


def logger_for(part: str) -> 'Logger':
    """Return a logger that marks its lines with the component's name."""
    return logger.bind(**{_PART: part})
