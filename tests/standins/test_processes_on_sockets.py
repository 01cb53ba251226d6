"""Tests of target, platform, caller and relay with sockets on one loop."""

import functools
import json
import time
from typing import Any

from standins.caller import Caller, CallPlan
from standins.http import LostCall, Message
from standins.http_client import Client, ClientPool
from standins.processes import HOST
from standins.relay import Relay
from standins.relay_model import RelayModel
from standins.tally import Ending
from standins.target import TargetConfig
from standins.target_plan import INSTANT_PATH
from tests.standins.fixtures import Testbed
from tests.support import function_tests

load_tests = function_tests(__name__)


def _put(version: int, content: Any) -> Message:
    body = json.dumps(content).encode()
    headers = {'If-Match': str(version)}
    path = '/v1/objects/settings/tree'
    return Message('PUT', path, headers=headers, body=body)


def _faults(**fields: object) -> Message:
    return Message.post_json('/faults', fields)


def test_a_write_takes_effect_though_its_answer_is_lost(
    testbed: Testbed, platform_port: int
) -> None:
    testbed.send_request(platform_port, _faults(lose_answers=True))
    lost = testbed.send_request(platform_port, _put(0, {'a': 1}))
    assert lost == LostCall(sent=True)
    read = testbed.send_request(
        platform_port, Message('GET', '/v1/objects/settings/tree')
    )
    assert read.json() == {'name': 'tree', 'version': 1, 'value': {'a': 1}}


def test_a_platform_that_is_down_counts_nothing(
    testbed: Testbed, platform_port: int
) -> None:
    testbed.send_request(platform_port, _faults(down=True))
    assert testbed.send_request(platform_port, _put(0, 1)).status == 503
    testbed.send_request(platform_port, _faults(down=False))
    calls = testbed.send_request(platform_port, Message('GET', '/calls')).json()
    assert calls == {'calls': {}, 'revision': 0}


def test_a_watch_reports_a_write(testbed: Testbed, platform_port: int) -> None:
    pool = ClientPool(testbed.loop, HOST, platform_port)
    path = '/v1/watch/settings?since=0&wait_ms=4000'
    outcomes: list[Message | LostCall] = []
    pool.call(Message('GET', path), outcomes.append)
    testbed.loop.call_later(
        0.05, functools.partial(pool.call, _put(0, 'a'), outcomes.append)
    )
    testbed.run_until(lambda: len(outcomes) == 2)
    items = [
        item for ending in outcomes for item in ending.json().get('items', ())
    ]
    assert items == [{'name': 'tree', 'version': 1, 'value': 'a'}]


def test_a_caller_gets_its_own_answers(
    testbed: Testbed, target_config: TargetConfig
) -> None:
    plan = CallPlan('docs', rate=200)
    caller = Caller(testbed.loop, plan, [(HOST, target_config.port)])
    testbed.loop.call_later(0, functools.partial(caller.start, 0.3))
    testbed.run_until(lambda: bool(caller.tally.sent) and caller.is_done)
    assert caller.tally.sent > 20
    assert caller.tally.endings[Ending.ANSWERED] == caller.tally.sent


def test_a_slow_target_does_not_hold_back_later_calls(
    testbed: Testbed, target_config: TargetConfig
) -> None:
    slow = Message.post_json('/control/faults', {'slow_factor': 10_000})
    testbed.send_request(target_config.control_port, slow)
    plan = CallPlan('docs', rate=200)
    caller = Caller(testbed.loop, plan, [(HOST, target_config.port)])
    testbed.loop.call_later(0, functools.partial(caller.start, 0.3))
    testbed.loop.call_later(0.4, testbed.loop.stop)
    testbed.run()
    assert caller.tally.sent > 20
    assert caller.tally.pending == caller.tally.sent


def test_a_late_caller_counts_its_delay_into_latencies(
    testbed: Testbed, target_config: TargetConfig
) -> None:
    plan = CallPlan('docs', rate=200, path=INSTANT_PATH)
    caller = Caller(testbed.loop, plan, [(HOST, target_config.port)])
    testbed.loop.call_later(0, functools.partial(caller.start, 0.3))
    testbed.loop.call_later(0.05, functools.partial(time.sleep, 0.2))
    testbed.run_until(lambda: bool(caller.tally.sent) and caller.is_done)
    assert caller.tally.percentile_ms(90) > 100


def test_a_closed_connection_cancels_its_call(
    testbed: Testbed, target_config: TargetConfig
) -> None:
    client = Client.dial(testbed.loop, HOST, target_config.port)
    headers = {'X-Call-Id': 'a'}
    slow = Message.post_json('/control/faults', {'slow_factor': 1000})
    testbed.send_request(target_config.control_port, slow)
    client.call(Message('GET', '/stock', headers=headers), lambda _: None)
    testbed.loop.call_later(0.1, client.connection.write_eof)
    testbed.loop.call_later(0.2, testbed.loop.stop)
    testbed.run()
    records = testbed.send_request(
        target_config.control_port, Message('GET', '/control/calls')
    )
    assert records.json()['calls']['a']['cancelled'] == 1


def test_a_frozen_connection_discards_bytes_and_a_new_one_works(
    testbed: Testbed, target_config: TargetConfig
) -> None:
    port, control = testbed.ports.take(), testbed.ports.take()
    Relay(testbed.loop, RelayModel(), target_config.port).listen(port, control)
    pool = ClientPool(testbed.loop, HOST, port)
    outcomes: list[Message | LostCall] = []
    pool.call(Message('GET', '/stock'), outcomes.append)
    testbed.run_until(lambda: len(outcomes) == 1)
    testbed.send_request(control, _faults(freeze=True))
    pool.call(Message('GET', '/stock'), outcomes.append)
    assert testbed.send_request(port, Message('GET', '/stock')).status == 200
    assert len(outcomes) == 1
