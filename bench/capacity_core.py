"""A node's decisions in this process, with as many members as wanted."""

import ipaddress
import random
import time
import uuid
from collections.abc import Callable
from typing import Any

import attrs

from daisyline.coordination import call_events as ev
from daisyline.coordination import messages as msg
from daisyline.coordination import node_handlers
from daisyline.coordination.gossip_messages import RecordUpdates
from daisyline.coordination.gossip_records import MemberRecord
from daisyline.coordination.node_core import NodeCore
from daisyline.state.members import Member
from daisyline.state.settings import Settings
from daisyline.state.targets import Target

SERVICE = 'docs'
ZONES = 7
FIRST_ADDRESS = '10.0.0.1'
PORT = 7400
MOST_SLOTS = 1_000_000
START = 1000.0
DEADLINE_S = 3.0
HEADERS = (
    (b'Host', b'docs'),
    (b'X-Call-Id', b'docs-call-123'),
    (b'Accept', b'application/json'),
)
ANSWER_HEADERS = (
    (b'Content-Type', b'application/json'),
    (b'X-Call-Id', b'docs-call-123'),
    (b'Content-Length', b'64'),
)
BODY_BYTES = 64
BODY = bytes(BODY_BYTES)
OK = 200
SERVICE_US = 5000
OTHER_SERVICES = 56
US_PER_S = 1_000_000
ROUNDS = 5
REST_S = 0.005
_SETTINGS = Settings.from_tree(
    1,
    {
        'defaults': {
            'slots_per_upstream': MOST_SLOTS,
            'deadline_ms': int(DEADLINE_S * 1000),
        },
        'services': {SERVICE: {}},
    },
)


@attrs.define
class CoreRig:
    """One node's decisions and the time that is passed to them."""

    core: NodeCore
    now: float = START
    calls: int = 0

    @classmethod
    def from_members(cls, count: int, of_service: int) -> 'CoreRig':
        """Build a node that knows so many others.

        Args:
            count: The members, this node included.
            of_service: How many of them are upstreams of the service.
        """
        rng = random.Random(1)
        core = NodeCore.from_config(_member(0), 'test', (), rng, START)
        core.entry.use_settings(_SETTINGS, START)
        core.target_side.use_settings(_SETTINGS, START)
        rig = cls(core)
        for number in range(1, count):
            service = SERVICE if number <= of_service else _other(number)
            rig.meet(_member(number, service))
        return rig

    def meet(self, member: Member) -> None:
        """Let the node hear of a member."""
        news = RecordUpdates((MemberRecord(member),))
        self.take(ev.CallMessageReceived('n1', news))

    def take(self, event: Any) -> list[Any]:
        """Hand an event to the decisions."""
        return node_handlers.handle(event, self.core, self.now)

    def tick(self) -> list[Any]:
        """Let the decisions do what is due."""
        return node_handlers.tick(self.core, self.now)

    def announce(self) -> None:
        """Let the target beside the node announce itself."""
        self.take(ev.TargetAnnounced(_target(SERVICE, 0)))

    def arrive(self) -> ev.RequestReceived:
        """Return a call that has just come."""
        self.calls += 1
        return ev.RequestReceived(
            call=f'n0-1-{self.calls}',
            service=SERVICE,
            tenant='default',
            method=b'GET',
            path=b'/instant',
            headers=HEADERS,
            body=b'',
            key='',
            deadline=self.now + DEADLINE_S,
        )

    def as_entry(self) -> None:
        """Take one call from its arrival to its answer, as its entry."""
        arrived = self.arrive()
        send = self.take(arrived)[0]
        self.take(ev.CallMessageReceived(send.node, answer(arrived.call)))

    def as_target(self) -> None:
        """Take one call from its offer to its answer, beside its target."""
        self.calls += 1
        call = f'n1-1-{self.calls}'
        self.take(ev.CallMessageReceived('n1', run(call)))
        head = ev.TargetAnswerHead(call, OK, ANSWER_HEADERS, BODY, last=True)
        self.take(head)


def answer(call: str) -> msg.AnswerHead:
    """Return the answer to a call."""
    return msg.AnswerHead(
        call,
        OK,
        ANSWER_HEADERS,
        BODY,
        last=True,
        running=3,
        waiting=0,
        limit=9,
        service_us=SERVICE_US,
    )


def run(call: str) -> msg.RunCall:
    """Return what an entry asks a target's node."""
    return msg.RunCall(
        call=call,
        attempt=1,
        service=SERVICE,
        tenant='default',
        budget_ms=int(DEADLINE_S * 1000),
        repeatable=True,
        may_move=True,
        key='',
        retried=False,
        settings_version=1,
        method=b'GET',
        path=b'/instant',
        headers=HEADERS,
        body=b'',
    )


def timed_us(function: Callable[[], Any], count: int) -> float:
    """Return the least processor time of some rounds, per call."""
    return min(_round_us(function, count) for _ in range(ROUNDS))


def rested_us(function: Callable[[], Any], count: int) -> float:
    """Return the mean processor time of calls that come after a rest.

    A node sleeps between calls, and finds its caches cold after it.
    """
    spent = float(0)
    for _ in range(count):
        time.sleep(REST_S)
        began = time.process_time()
        function()
        spent += time.process_time() - began
    return spent * US_PER_S / count


def _round_us(function: Callable[[], Any], count: int) -> float:
    began = time.process_time()
    for _ in range(count):
        function()
    return (time.process_time() - began) * US_PER_S / count


def _other(number: int) -> str:
    rest = number % OTHER_SERVICES
    return f'service-{rest}'


def _member(number: int, service: str = '') -> Member:
    zone = number % ZONES
    region = zone % 2
    return Member(
        name=f'n{number}',
        host=str(ipaddress.ip_address(FIRST_ADDRESS) + number),
        port=PORT,
        zone=f'zone-{zone}',
        region=f'region-{region}',
        incarnation=1,
        revision=1,
        target=_target(service, number) if service else None,
    )


def _target(service: str, number: int) -> Target:
    return Target(service, 'v1', uuid.UUID(int=number).hex, '127.0.0.1', PORT)
