"""Read the JSON that a node's operators' port gives."""

import zlib
from typing import Any

import attrs
from hdrh import codec

from daisyline.state.failures import Failure, Outcome, Reason
from daisyline.state.fleet_status import (
    FleetStatus,
    MemberStatus,
    RecordedEvent,
)
from daisyline.state.histograms import Latencies
from daisyline.state.rollout_state import RolloutStatus

MAX_MERGED_SERIES = 100_000

_MALFORMED = (
    TypeError,
    KeyError,
    ValueError,
    AttributeError,
    zlib.error,
    codec.HdrCookieException,
    codec.HdrLengthException,
)
_EVENT_FIELDS = ('at', 'kind', 'what')


def parse_status(answer: Any) -> FleetStatus | Failure:
    """Read the answer to `GET /status`."""
    try:
        return _status_from(answer)
    except _MALFORMED as error:
        return _misread('status', error)


def parse_events(answer: Any, node: str) -> list[RecordedEvent] | Failure:
    """Read the answer to `GET /explain`."""
    try:
        return [_event_from(entry, node) for entry in answer['events']]
    except _MALFORMED as error:
        return _misread('explain', error)


def merge_histograms(held: Latencies, answer: Any) -> Failure | None:
    """Add the answer to `GET /histograms` to what other nodes gave."""
    try:
        held.merge(_series_from(answer))
    except _MALFORMED as error:
        return _misread('histograms', error)
    return None


def _status_from(answer: Any) -> FleetStatus:
    fields = _known(FleetStatus, answer)
    fields['members'] = tuple(
        MemberStatus(**_known(MemberStatus, entry))
        for entry in answer.get('members', ())
    )
    fields['rollouts'] = tuple(
        RolloutStatus(**_known(RolloutStatus, entry))
        for entry in answer.get('rollouts', ())
    )
    return FleetStatus(**fields)


def _series_from(answer: Any) -> dict[tuple[str, str], str]:
    return {
        (service, tenant): text
        for service, tenants in answer['services'].items()
        for tenant, text in tenants.items()
    }


def _event_from(entry: dict[str, Any], node: str) -> RecordedEvent:
    numbers = {
        name: number
        for name, number in entry.items()
        if name not in _EVENT_FIELDS
    }
    return RecordedEvent(
        float(entry['at']), entry['kind'], entry.get('what', ''), numbers, node
    )


def _known(kind: type, entry: Any) -> dict[str, Any]:
    """Return the fields that a class has; a newer node may give more."""
    names = {field.name for field in attrs.fields(kind)}
    return {name: entry[name] for name in names.intersection(entry)}


def _misread(what: str, error: Exception) -> Failure:
    detail = f'the answer to {what} is not as expected: {error}'
    return Failure(Reason.BAD_REQUEST, Outcome.NOT_RUN, detail)
