"""Reads the decisions that nodes have written as JSON lines to their logs."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

from daisyline.state.fleet_status import RecordedEvent

# The id of a call begins with the id that its caller gave it, if any, followed
# by this sign.
CALLER_ID_END = '~'
_OWN_FIELDS = frozenset(('time', 'at_node', 'event'))


def find_decisions(
    lines: Iterable[str], kind: str, name: str
) -> Iterator[RecordedEvent]:
    """Yield the decisions about a call, target, zone or rollout.

    Args:
        lines: Lines of logs. Text before the JSON object, such as a time that
            a collector has added, is skipped, as are other lines.
        kind: The kind of the named object: call, target, zone or rollout.
        name: The object's name; of a call also the id that its caller gave it.
    """
    for line in lines:
        fields = _decision(line)
        if fields and _is_about(str(fields.get(kind, '')), kind, name):
            yield RecordedEvent(
                at=float(fields['time']),
                kind=str(fields['event']),
                what='',
                numbers={
                    field: number
                    for field, number in fields.items()
                    if field not in _OWN_FIELDS
                },
                node=str(fields.get('at_node', '')),
            )


def _is_about(found: str, kind: str, name: str) -> bool:
    if found == name:
        return True
    return kind == 'call' and found.startswith(f'{name}{CALLER_ID_END}')


def _decision(line: str) -> dict[str, Any]:
    """Return the fields of a decision; empty if the line has none."""
    start = line.find('{')
    if start < 0:
        return {}
    try:
        fields = json.loads(line[start:])
    except (ValueError, RecursionError):
        return {}
    is_decision = (
        isinstance(fields, dict)
        and isinstance(fields.get('time'), (int, float))
        and 'event' in fields
    )
    return fields if is_decision else {}
