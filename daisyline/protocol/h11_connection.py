"""Connections of h11 that read lines in a time linear in their length.

The patterns of h11 0.16 for header lines and chunk headers try each way to
divide a run of blanks between two quantifiers, so that one malformed line of
the longest head stops the loop for many seconds.
"""

import re
from typing import Any

from h11 import Connection, _readers  # noqa: WPS450

from daisyline.protocol.http_messages import MAX_HEAD_BYTES

# They match what the patterns of h11 match, without backtracking into blanks.
HEADER_LINE = re.compile(
    rb"(?P<field_name>[-!#$%&'*+.^_`|~0-9a-zA-Z]+):[ \t]*+"
    rb'(?P<field_value>(?:[^\x00\s]++(?:[ \t]++[^\x00\s]++)*+)?+)[ \t]*+'
)
CHUNK_HEADER = re.compile(
    rb'(?P<chunk_size>[0-9A-Fa-f]{1,20})'
    rb'(?:(?P<chunk_ext>;[^\n]*)|[ \t]*+)\r\n'
)
_readers.header_field_re = HEADER_LINE
_readers.chunk_header_re = CHUNK_HEADER


def new_connection(role: Any) -> Connection:
    """Return the codec of a new connection.

    Args:
        role: The own side, `h11.CLIENT` or `h11.SERVER`.
    """
    return Connection(role, max_incomplete_event_size=MAX_HEAD_BYTES)
