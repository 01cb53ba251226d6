"""Parses the JSON answers of a node's operators' port."""

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

_PARSE_ERRORS = (
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
    """Parse the answer to `GET /status`; a malformed one gives a failure."""
    try:
        return _parse_status(answer)
    except _PARSE_ERRORS as error:
        return _malformed_answer('status', error)


def parse_events(answer: Any, node: str) -> list[RecordedEvent] | Failure:
    """Parse the answer to `GET /explain`; a malformed one gives a failure.

    Args:
        answer: The decoded JSON.
        node: The name of the node that sent it.
    """
    try:
        return [_parse_event(entry, node) for entry in answer['events']]
    except _PARSE_ERRORS as error:
        return _malformed_answer('explain', error)


def merge_histograms(latencies: Latencies, answer: Any) -> Failure | None:
    """Add the histograms in an answer to `GET /histograms` to `latencies`.

    Returns:
        None, or a failure if the answer is malformed.
    """
    try:
        latencies.merge(_parse_series(answer))
    except _PARSE_ERRORS as error:
        return _malformed_answer('histograms', error)
    return None


def _parse_status(answer: Any) -> FleetStatus:
    fields = _known_fields(FleetStatus, answer)
    fields['members'] = tuple(
        MemberStatus(**_known_fields(MemberStatus, entry))
        for entry in answer.get('members', ())
    )
    fields['rollouts'] = tuple(
        RolloutStatus(**_known_fields(RolloutStatus, entry))
        for entry in answer.get('rollouts', ())
    )
    return FleetStatus(**fields)


def _parse_series(answer: Any) -> dict[tuple[str, str], str]:
    return {
        (service, tenant): text
        for service, tenants in answer['services'].items()
        for tenant, text in tenants.items()
    }


def _parse_event(entry: dict[str, Any], node: str) -> RecordedEvent:
    numbers = {
        name: number
        for name, number in entry.items()
        if name not in _EVENT_FIELDS
    }
    return RecordedEvent(
        float(entry['at']), entry['kind'], entry.get('what', ''), numbers, node
    )


def _known_fields(kind: type, entry: Any) -> dict[str, Any]:
    """Return the fields of an entry that an `attrs` class defines.

    A newer node may send further fields; they are ignored.
    """
    names = {field.name for field in attrs.fields(kind)}
    return {name: entry[name] for name in names.intersection(entry)}


def _malformed_answer(what: str, error: Exception) -> Failure:
    detail = f'the answer to {what} is malformed: {error}'
    return Failure(Reason.BAD_REQUEST, Outcome.NOT_RUN, detail)
