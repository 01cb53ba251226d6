"""The content of a node's object of departures in the platform's store."""

from collections.abc import Iterable
from typing import Any

from daisyline.state.departures import Departure

_LIST = 'departures'


def content_of(departures: Iterable[Departure]) -> dict[str, Any]:
    """Return the content of the object."""
    return {
        _LIST: [
            {
                'instance': departure.instance,
                'started_ms': departure.started_ms,
                'left_ms': departure.left_ms,
            }
            for departure in departures
        ]
    }


def departures_in(content: Any) -> tuple[Departure, ...]:
    """Return the departures in an object; malformed ones are skipped."""
    listed = content.get(_LIST) if isinstance(content, dict) else None
    if not isinstance(listed, list):
        return ()
    departures = map(_departure, listed)
    return tuple(departure for departure in departures if departure)


def _departure(entry: Any) -> Departure | None:
    if not isinstance(entry, dict):
        return None
    fields = tuple(
        entry.get(name) for name in ('instance', 'started_ms', 'left_ms')
    )
    if tuple(map(type, fields)) != (str, int, int):
        return None
    return Departure(*fields)
