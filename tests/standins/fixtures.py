"""Fixtures for tests of the stand-ins on sockets."""

import signal
from collections.abc import Callable, Iterator

import attrs

from daisyline.transport.loop import Loop
from standins.http import LostCall, Message
from standins.http_client import Client
from standins.platform import Platform
from standins.processes import HOST, Ports
from standins.store import Store
from standins.target import TargetConfig, TargetProcess
from standins.target_model import TargetModel
from standins.target_plan import TargetPlan
from tests.support import fixture

MAX_RUN_S = 5


@attrs.frozen(eq=False)
class Testbed:
    """A loop and free ports; a run of the loop ends after `MAX_RUN_S`."""

    loop: Loop
    ports: Ports

    def send_request(self, port: int, request: Message) -> Message | LostCall:
        """Make one call and run the loop until it has ended."""
        endings: list[Message | LostCall] = []

        def ended(ending: Message | LostCall) -> None:
            endings.append(ending)
            self.loop.stop()

        Client.dial(self.loop, HOST, port).call(request, ended)
        self.run()
        return endings[0]

    def run(self) -> None:
        """Run the loop until it is stopped or `MAX_RUN_S` have passed."""
        timeout = self.loop.call_later(MAX_RUN_S, self.loop.stop)
        self.loop.run()
        timeout.cancel()

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
def testbed() -> Iterator[Testbed]:
    handlers = [
        (number, signal.getsignal(number))
        for number in (signal.SIGINT, signal.SIGTERM)
    ]
    try:
        yield Testbed(Loop.create(), Ports.from_random())
    finally:
        for number, handler in handlers:
            signal.signal(number, handler)


@fixture
def platform_port(testbed: Testbed) -> Iterator[int]:
    port = testbed.ports.take()
    Platform(testbed.loop, Store()).server.listen(testbed.loop, HOST, port)
    yield port


@fixture
def target_config(testbed: Testbed) -> Iterator[TargetConfig]:
    ports = [testbed.ports.take() for _ in range(3)]
    config = TargetConfig(*ports)
    model = TargetModel.from_plan(TargetPlan('docs', cold_calls=0), 1)
    TargetProcess(testbed.loop, model, config).start()
    yield config
