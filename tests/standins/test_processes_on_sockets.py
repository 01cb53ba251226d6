"""The stand-ins' sockets: target, platform, caller and relay on one loop."""

import functools
import json
import signal
from collections.abc import Callable, Iterator
from typing import Any

import attrs

from daisyline.transport.loop import Loop
from standins.caller import Caller, CallPlan
from standins.http import Lost, Message
from standins.http_client import Client, ClientPool
from standins.platform import Platform
from standins.processes import HOST, Ports
from standins.relay import Relay
from standins.relay_model import RelayModel
from standins.store import Store
from standins.tally import Ending
from standins.target import Place, TargetProcess
from standins.target_model import TargetModel
from standins.target_plan import TargetPlan
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)

LONGEST_S = 5


@attrs.frozen(eq=False)
class Bench:
    """A loop and free ports; the loop stops by itself after a while."""

    loop: Loop
    ports: Ports

    def ask(self, port: int, request: Message) -> Message | Lost:
        """Call once and run the loop until the call has ended."""
        endings: list[Message | Lost] = []

        def ended(ending: Message | Lost) -> None:
            endings.append(ending)
            self.loop.stop()

        Client.dial(self.loop, HOST, port).call(request, ended)
        self.run()
        return endings[0]

    def run(self) -> None:
        """Run the loop until something stops it."""
        give_up = self.loop.call_later(LONGEST_S, self.loop.stop)
        self.loop.run()
        give_up.cancel()

    def run_until(self, condition: Callable[[], bool]) -> None:
        """Run the loop until a condition holds."""

        def check() -> None:
            if condition():
                self.loop.stop()
            else:
                self.loop.call_later(0.01, check)

        self.loop.call_later(0, check)
        self.run()


@fixture
def bench() -> Iterator[Bench]:
    handlers = [
        (number, signal.getsignal(number))
        for number in (signal.SIGINT, signal.SIGTERM)
    ]
    yield Bench(Loop.create(), Ports.from_random())
    for number, handler in handlers:
        signal.signal(number, handler)


@fixture
def platform(bench: Bench) -> Iterator[int]:
    port = bench.ports.take()
    Platform(bench.loop, Store()).server.listen(bench.loop, HOST, port)
    yield port


@fixture
def place(bench: Bench) -> Iterator[Place]:
    ports = [bench.ports.take() for _ in range(3)]
    place = Place(*ports)
    model = TargetModel.from_plan(TargetPlan('docs', cold_calls=0), 1)
    TargetProcess(bench.loop, model, place).start()
    yield place


def _put(version: int, content: Any) -> Message:
    body = json.dumps(content).encode()
    headers = {'If-Match': str(version)}
    path = '/v1/objects/settings/tree'
    return Message('PUT', path, headers=headers, body=body)


def _faults(**fields: object) -> Message:
    return Message.post_json('/faults', fields)


def test_a_lost_answer_leaves_the_write(bench: Bench, platform: int) -> None:
    bench.ask(platform, _faults(lose_answers=True))
    lost = bench.ask(platform, _put(0, {'a': 1}))
    assert lost == Lost(sent=True)
    read = bench.ask(platform, Message('GET', '/v1/objects/settings/tree'))
    assert read.json() == {'name': 'tree', 'version': 1, 'value': {'a': 1}}


def test_a_platform_that_is_down_counts_nothing(
    bench: Bench, platform: int
) -> None:
    bench.ask(platform, _faults(down=True))
    assert bench.ask(platform, _put(0, 1)).status == 503
    bench.ask(platform, _faults(down=False))
    calls = bench.ask(platform, Message('GET', '/calls')).json()
    assert calls == {'calls': {}, 'revision': 0}


def test_a_watch_hears_of_a_write(bench: Bench, platform: int) -> None:
    pool = ClientPool(bench.loop, HOST, platform)
    path = '/v1/watch/settings?since=0&wait_ms=4000'
    heard: list[Message | Lost] = []
    pool.call(Message('GET', path), heard.append)
    bench.loop.call_later(
        0.05, functools.partial(pool.call, _put(0, 'a'), heard.append)
    )
    bench.run_until(lambda: len(heard) == 2)
    items = [
        item for ending in heard for item in ending.json().get('items', ())
    ]
    assert items == [{'name': 'tree', 'version': 1, 'value': 'a'}]


def test_a_caller_gets_its_own_answers(bench: Bench, place: Place) -> None:
    plan = CallPlan('docs', rate=200)
    caller = Caller(bench.loop, plan, [(HOST, place.port)])
    bench.loop.call_later(0, functools.partial(caller.start, 0.3))
    bench.run_until(lambda: bool(caller.tally.sent) and caller.done)
    assert caller.tally.sent > 20
    assert caller.tally.endings[Ending.ANSWERED] == caller.tally.sent


def test_a_closed_connection_cancels_its_call(
    bench: Bench, place: Place
) -> None:
    client = Client.dial(bench.loop, HOST, place.port)
    headers = {'X-Call-Id': 'a'}
    slow = Message.post_json('/control/faults', {'slow_factor': 1000})
    bench.ask(place.control_port, slow)
    client.call(Message('GET', '/stock', headers=headers), lambda _: None)
    bench.loop.call_later(0.1, client.connection.end)
    bench.loop.call_later(0.2, bench.loop.stop)
    bench.run()
    records = bench.ask(place.control_port, Message('GET', '/control/calls'))
    assert records.json()['calls']['a']['cancelled'] == 1


def test_a_frozen_connection_swallows_and_a_new_one_works(
    bench: Bench, place: Place
) -> None:
    port, control = bench.ports.take(), bench.ports.take()
    Relay(bench.loop, RelayModel(), place.port).listen(port, control)
    pool = ClientPool(bench.loop, HOST, port)
    heard: list[Message | Lost] = []
    pool.call(Message('GET', '/stock'), heard.append)
    bench.run_until(lambda: len(heard) == 1)
    bench.ask(control, _faults(freeze=True))
    pool.call(Message('GET', '/stock'), heard.append)
    assert bench.ask(port, Message('GET', '/stock')).status == 200
    assert len(heard) == 1
