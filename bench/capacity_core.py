"""The decisions of one node in this process, with any number of members."""

import ipaddress
import random
import time
import uuid
from collections.abc import Callable
from typing import Any

import attrs

from daisyline.coordination import node_handlers
from daisyline.coordination.calls import call_events as ev
from daisyline.coordination.calls import messages as msg
from daisyline.coordination.membership.gossip_messages import RecordUpdates
from daisyline.coordination.membership.gossip_records import MemberRecord
from daisyline.coordination.node_core import NodeCore
from daisyline.state.members import Member
from daisyline.state.routes import DEFAULT_PRIORITY
from daisyline.state.settings import Settings
from daisyline.state.targets import Target

SERVICE = 'docs'
ZONE_COUNT = 7
FIRST_ADDRESS = '10.0.0.1'
PORT = 7400
MAX_SLOTS = 1_000_000
START_TIME_S = 1000.0
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
OTHER_SERVICE_COUNT = 56
US_PER_S = 1_000_000
ROUND_COUNT = 5
SLEEP_S = 0.005
_SETTINGS = Settings.from_tree(
    1,
    {
        'defaults': {
            'slots_per_upstream': MAX_SLOTS,
            'deadline_ms': int(DEADLINE_S * 1000),
        },
        'services': {SERVICE: {}},
    },
)


@attrs.define
class CoreRig:
    """The decisions of one node and the virtual time passed to them.

    Attributes:
        core: The decisions.
        now: Virtual time, in seconds.
        calls: Number of calls created so far, which makes their ids unique.
    """

    core: NodeCore
    now: float = START_TIME_S
    calls: int = 0

    @classmethod
    def from_members(cls, count: int, upstreams: int) -> 'CoreRig':
        """Build a node that knows a number of members.

        Args:
            count: Number of members, including this node.
            upstreams: Number of them that are upstreams of the service.
        """
        rng = random.Random(1)
        core = NodeCore.from_config(_member(0), 'test', (), rng, START_TIME_S)
        core.entry.use_settings(_SETTINGS, START_TIME_S)
        core.target_side.use_settings(_SETTINGS, START_TIME_S)
        rig = cls(core)
        for number in range(1, count):
            service = SERVICE if number <= upstreams else _other_service(number)
            rig.add_member(_member(number, service))
        return rig

    def add_member(self, member: Member) -> None:
        """Deliver the record of a member to the node."""
        updates = RecordUpdates((MemberRecord(member),))
        self.handle(ev.CallMessageReceived('n1', updates))

    def handle(self, event: Any) -> list[Any]:
        """Handle an event and return its effects."""
        return node_handlers.handle(event, self.core, self.now)

    def tick(self) -> list[Any]:
        """Run the timers that have expired and return their effects."""
        return node_handlers.tick(self.core, self.now)

    def announce(self) -> None:
        """Deliver the announcement of the target beside the node."""
        self.handle(ev.TargetAnnounced(_target(SERVICE, 0)))

    def make_request(self) -> ev.RequestReceived:
        """Return the event of a new call from a caller."""
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

    def run_as_entry(self) -> None:
        """Process one call as its entry node, from request to answer."""
        request = self.make_request()
        send = self.handle(request)[0]
        self.handle(
            ev.CallMessageReceived(send.node, make_answer(request.call))
        )

    def run_as_target(self) -> None:
        """Process one call as its target's node, from offer to answer."""
        self.calls += 1
        call = f'n1-1-{self.calls}'
        self.handle(ev.CallMessageReceived('n1', make_run_call(call)))
        head = ev.TargetAnswerHead(call, OK, ANSWER_HEADERS, BODY, last=True)
        self.handle(head)


def make_answer(call: str) -> msg.AnswerHead:
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


def make_run_call(call: str) -> msg.RunCall:
    """Return the message by which an entry node offers a call."""
    return msg.RunCall(
        call=call,
        attempt=1,
        service=SERVICE,
        tenant='default',
        budget_ms=int(DEADLINE_S * 1000),
        repeatable=True,
        may_move=True,
        accepts_slow_target=False,
        key='',
        retried=False,
        settings_version=1,
        priority=DEFAULT_PRIORITY,
        objective_ms=msg.NO_OBJECTIVE,
        method=b'GET',
        path=b'/instant',
        headers=HEADERS,
        body=b'',
    )


def minimum_us(function: Callable[[], Any], count: int) -> float:
    """Return the processor time per call of the fastest round, in us."""
    return min(_round_us(function, count) for _ in range(ROUND_COUNT))


def mean_us_after_sleep(function: Callable[[], Any], count: int) -> float:
    """Return the mean processor time of calls that each follow a sleep, in us.

    A node sleeps between calls, after which the processor's caches are cold.
    """
    spent_s = float(0)
    for _ in range(count):
        time.sleep(SLEEP_S)
        started_at = time.process_time()
        function()
        spent_s += time.process_time() - started_at
    return spent_s * US_PER_S / count


def _round_us(function: Callable[[], Any], count: int) -> float:
    started_at = time.process_time()
    for _ in range(count):
        function()
    return (time.process_time() - started_at) * US_PER_S / count


def _other_service(number: int) -> str:
    rest = number % OTHER_SERVICE_COUNT
    return f'service-{rest}'


def _member(number: int, service: str = '') -> Member:
    zone = number % ZONE_COUNT
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
