"""The kinds of calls of a soak run: requests, resends and results."""

import functools
import json
from typing import Any

import attrs

from standins.caller import (
    ID_HEADER,
    OUTCOME_HEADER,
    STATUSES_PER_CLASS,
    SUCCESS_CLASS,
)
from standins.http import LostCall, Message
from standins.tally import Ending
from standins.target_messages import DIGEST_HEADER, digest_of
from standins.target_model import (
    BROKEN_PREFIX,
    CHAIN_PREFIX,
    PIPELINES_PREFIX,
    POISON_PATH,
)

REASON_HEADER = 'daisyline-reason'
DEADLINE_MS = 3000
LOOKUP_PATH_COUNT = 40
# Nodes send longer bodies than 1 MiB to each other in parts.
UPLOAD_BYTES = 1_310_720
UPLOAD_GAP_MS = 2000


@attrs.frozen
class Lookup:
    """A repeatable call."""

    service: str


@attrs.frozen
class ChainedLookup:
    """A repeatable call whose target calls another service."""

    service: str


@attrs.frozen
class Order:
    """A call that is not repeatable."""

    service: str


@attrs.frozen
class KeyedOrder:
    """An order that is re-sent with the same key if its outcome is unknown."""

    service: str


@attrs.frozen
class Upload:
    """A repeatable call with a long body, whose digest it states."""

    service: str


@attrs.frozen
class PoisonedLookup:
    """A repeatable call that crashes each target; re-sent until answered."""

    service: str


@attrs.frozen
class CallStream:
    """Calls of one kind.

    Attributes:
        label: The prefix of their ids.
        kind: The kind of the calls.
        gap_ms: The mean time between two calls, in milliseconds.
    """

    label: str
    kind: Any
    gap_ms: float = 100


@attrs.frozen
class AttemptResult:
    """The result of one attempt, as its caller observed it.

    Attributes:
        ending: The outcome.
        reason: The reason of a refusal, or a description of the failure.
    """

    ending: Ending
    reason: str = ''


STREAMS = (
    CallStream('lookup', Lookup('catalogue')),
    CallStream('probe', Lookup('docs')),
    CallStream('chain', ChainedLookup('catalogue')),
    CallStream('order', Order('catalogue')),
    CallStream('keyed', KeyedOrder('catalogue')),
    CallStream('upload', Upload('docs'), gap_ms=UPLOAD_GAP_MS),
)


@functools.singledispatch
def request_of(kind: Any, call_id: str, number: int) -> Message:
    """Return the request of a call.

    Args:
        kind: The kind of the call.
        call_id: The id that is sent in `X-Call-Id`.
        number: The number of the call among those of its kind, from 1.

    Raises:
        TypeError: If the kind is unknown.
    """
    raise TypeError(kind)


@request_of.register
def _(kind: Lookup, call_id: str, number: int) -> Message:
    item = number % LOOKUP_PATH_COUNT
    path = f'/stock/{item}'
    return Message('GET', path, headers=_headers(kind.service, call_id))


@request_of.register
def _(kind: ChainedLookup, call_id: str, number: int) -> Message:
    path = f'{CHAIN_PREFIX}1'
    return Message('GET', path, headers=_headers(kind.service, call_id))


@request_of.register
def _(kind: Order, call_id: str, number: int) -> Message:
    headers = _headers(kind.service, call_id)
    return Message('POST', '/orders', headers=headers, body=_body(call_id))


@request_of.register
def _(kind: KeyedOrder, call_id: str, number: int) -> Message:
    headers = _headers(kind.service, call_id)
    headers['Idempotency-Key'] = call_id
    return Message('POST', '/orders', headers=headers, body=_body(call_id))


@request_of.register
def _(kind: Upload, call_id: str, number: int) -> Message:
    octets = f'{call_id} '.encode()
    body = (octets * (UPLOAD_BYTES // len(octets) + 1))[:UPLOAD_BYTES]
    headers = _headers(kind.service, call_id)
    headers[DIGEST_HEADER] = digest_of(body)
    return Message('GET', '/uploads', headers=headers, body=body)


@request_of.register
def _(kind: PoisonedLookup, call_id: str, number: int) -> Message:
    path = f'{POISON_PATH}/{call_id}'
    return Message('GET', path, headers=_headers(kind.service, call_id))


def pipelined_requests(
    number: int, count: int, broken: int | None
) -> list[Message]:
    """Return the requests of a pipeline.

    Args:
        number: The number of the pipeline, from 1.
        count: The number of requests.
        broken: The position of the one whose answer breaks off; None for
            whole answers.
    """
    requests = []
    for position in range(count):
        call_id = f'pipe-{number}.{position}'
        prefix = BROKEN_PREFIX if position == broken else PIPELINES_PREFIX
        headers = _headers('docs', call_id)
        requests.append(Message('GET', f'{prefix}{call_id}', headers=headers))
    return requests


@functools.singledispatch
def is_resent(kind: Any, result: AttemptResult) -> bool:
    """Return whether the caller re-sends a call after this result."""
    return False


@is_resent.register
def _(kind: KeyedOrder, result: AttemptResult) -> bool:
    return result.ending in {Ending.CUT, Ending.UNKNOWN}


@is_resent.register
def _(kind: PoisonedLookup, result: AttemptResult) -> bool:
    return result.ending != Ending.ANSWERED


@functools.singledispatch
def classify(outcome: Any, call_id: str) -> AttemptResult:
    """Return the result of an attempt from its answer or its loss.

    Raises:
        TypeError: If the outcome is neither an answer nor a loss.
    """
    raise TypeError(outcome)


@classify.register
def _(outcome: LostCall, call_id: str) -> AttemptResult:
    return AttemptResult(
        Ending.CUT, 'incomplete answer' if outcome.answer_begun else 'no answer'
    )


@classify.register
def _(outcome: Message, call_id: str) -> AttemptResult:
    reported_outcome = outcome.headers.get(OUTCOME_HEADER)
    if reported_outcome is not None:
        reason = outcome.headers.get(REASON_HEADER, '')
        return AttemptResult(Ending(reported_outcome), reason)
    content = outcome.json() or {}
    echoed = (outcome.headers.get(ID_HEADER), content.get('call'))
    if echoed != (call_id, call_id):
        return AttemptResult(Ending.WRONG, f'an answer to {echoed}')
    if outcome.status // STATUSES_PER_CLASS != SUCCESS_CLASS:
        return AttemptResult(Ending.FAILED, f'status {outcome.status}')
    return AttemptResult(Ending.ANSWERED)


def _headers(service: str, call_id: str) -> dict[str, str]:
    return {
        'Host': service,
        'X-Call-Id': call_id,
        'X-Deadline-Ms': str(DEADLINE_MS),
    }


def _body(call_id: str) -> bytes:
    return json.dumps({'order': call_id}).encode()
