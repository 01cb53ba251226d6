"""What the callers of a soak run send, and how they judge what comes."""

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
from standins.target_model import CHAIN_PREFIX, POISON_PATH

REASON_HEADER = 'daisyline-reason'
DEADLINE_MS = 3000
LOOKUP_PATHS = 40


@attrs.frozen
class Lookup:
    """A repeatable call."""

    service: str


@attrs.frozen
class ChainedLookup:
    """A repeatable call whose target calls another service in turn."""

    service: str


@attrs.frozen
class Order:
    """A call that may not be repeated."""

    service: str


@attrs.frozen
class KeyedOrder:
    """An order that its caller re-sends under one key if it is in doubt."""

    service: str


@attrs.frozen
class PoisonedLookup:
    """A repeatable call that crashes each target, sent again and again."""

    service: str


@attrs.frozen
class Stream:
    """Calls of one kind.

    Attributes:
        label: Tells their ids from others'.
        kind: What is sent.
        gap_ms: The mean time between two of them, in milliseconds.
    """

    label: str
    kind: Any
    gap_ms: float = 100


@attrs.frozen
class Seen:
    """How one sending ended, as its caller judges it.

    Attributes:
        ending: How it ended.
        reason: The reason of a refusal, or what was wrong.
    """

    ending: Ending
    reason: str = ''


STREAMS = (
    Stream('lookup', Lookup('catalogue')),
    Stream('probe', Lookup('docs')),
    Stream('chain', ChainedLookup('catalogue')),
    Stream('order', Order('catalogue')),
    Stream('keyed', KeyedOrder('catalogue')),
)


@functools.singledispatch
def request_of(kind: Any, call_id: str, number: int) -> Message:
    """Return the request of a call.

    Args:
        kind: What kind of call.
        call_id: The id that is sent in `X-Call-Id`.
        number: Counts the calls of this kind.

    Raises:
        TypeError: If the kind is not known.
    """
    raise TypeError(kind)


@request_of.register
def _(kind: Lookup, call_id: str, number: int) -> Message:
    item = number % LOOKUP_PATHS
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
def _(kind: PoisonedLookup, call_id: str, number: int) -> Message:
    path = f'{POISON_PATH}/{call_id}'
    return Message('GET', path, headers=_headers(kind.service, call_id))


@functools.singledispatch
def is_sent_again(kind: Any, seen: Seen) -> bool:
    """Return whether the caller sends a call again after this ending."""
    return False


@is_sent_again.register
def _(kind: KeyedOrder, seen: Seen) -> bool:
    return seen.ending in {Ending.CUT, Ending.UNKNOWN}


@is_sent_again.register
def _(kind: PoisonedLookup, seen: Seen) -> bool:
    return seen.ending != Ending.ANSWERED


@functools.singledispatch
def judge(outcome: Any, call_id: str) -> Seen:
    """Return how a sending ended for its caller.

    Raises:
        TypeError: If the outcome is neither an answer nor a loss.
    """
    raise TypeError(outcome)


@judge.register
def _(outcome: LostCall, call_id: str) -> Seen:
    return Seen(
        Ending.CUT, 'half an answer' if outcome.answer_begun else 'no answer'
    )


@judge.register
def _(outcome: Message, call_id: str) -> Seen:
    refused = outcome.headers.get(OUTCOME_HEADER)
    if refused is not None:
        reason = outcome.headers.get(REASON_HEADER, '')
        return Seen(Ending(refused), reason)
    content = outcome.json() or {}
    echoed = (outcome.headers.get(ID_HEADER), content.get('call'))
    if echoed != (call_id, call_id):
        return Seen(Ending.WRONG, f'an answer to {echoed}')
    if outcome.status // STATUSES_PER_CLASS != SUCCESS_CLASS:
        return Seen(Ending.FAILED, f'status {outcome.status}')
    return Seen(Ending.ANSWERED)


def _headers(service: str, call_id: str) -> dict[str, str]:
    return {
        'Host': service,
        'X-Call-Id': call_id,
        'X-Deadline-Ms': str(DEADLINE_MS),
    }


def _body(call_id: str) -> bytes:
    return json.dumps({'order': call_id}).encode()
