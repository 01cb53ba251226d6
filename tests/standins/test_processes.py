"""Tests of stopping the child processes of a launcher."""

import pathlib
from collections.abc import Iterator

from standins.http import LostCall, Message
from standins.http_client import Client
from standins.processes import HOST, Processes
from tests.standins.fixtures import Testbed
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)


@fixture
def children(testbed: Testbed) -> Iterator[Processes]:
    processes = Processes(testbed.loop)
    try:
        yield processes
    finally:
        processes.kill_all()


def test_children_are_stopped_in_order(
    testbed: Testbed, children: Processes
) -> None:
    port = testbed.ports.take()
    children.start('platform', 'standins.platform', port=port)
    outcomes: list[Message | LostCall] = []

    def send_request() -> None:
        client = Client.dial(testbed.loop, HOST, port)
        client.call(Message('GET', '/calls'), outcomes.append)
        if not outcomes or outcomes[-1] == LostCall(sent=False):
            testbed.loop.call_later(0.1, send_request)

    testbed.loop.call_later(0, send_request)
    testbed.run_until(
        lambda: bool(outcomes) and outcomes[-1] != LostCall(sent=False)
    )
    codes: list[int] = []
    children.on_exit = lambda _name, code: codes.append(code)
    pid = children.pid('platform')
    children.stop_all(testbed.loop.stop)
    testbed.run()
    assert not children.names
    assert not codes
    assert not pathlib.Path(f'/proc/{pid}').exists()
