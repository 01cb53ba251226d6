"""The process of a stand-in target, which runs beside one node."""

import functools
import os
import signal
import sys
import uuid
from typing import Annotated, Any

import attrs
import cyclopts

from daisyline.transport.loop import Loop
from standins import target_messages as msg
from standins.http import LostCall, Message
from standins.http_client import Client, ClientPool
from standins.http_server import Exchange, Server
from standins.target_answers import (
    BROKEN_LATE,
    DELIVERIES,
    Delivery,
    deliver,
)
from standins.target_model import BROKEN_PREFIX, OK, TargetModel
from standins.target_plan import TargetFaults, TargetPlan
from standins.target_report import Reporter

HOST = '127.0.0.1'
ANNOUNCE_INTERVAL_S = 1.0
IDLE_BEFORE_STOP_S = 2.0
NOT_FOUND = 404
LOAD_PATH = '/load'


@attrs.frozen
class TargetConfig:
    """The ports of a target and of the node beside it.

    Attributes:
        port: The TCP port for calls.
        control_port: The TCP port for setting faults and reading records.
        node_target_port: The node's TCP port for announcements of its target.
        seed: Seeds the random service times.
        announced_port: The port announced to the node; `None` announces the
            target's own.
        report_port: The UDP port that receives a report of every start of a
            call; `None` sends none.
    """

    port: int
    control_port: int
    node_target_port: int
    seed: int = 1
    announced_port: int | None = None
    report_port: int | None = None


class TargetProcess:
    """Connects the model of a target to sockets, timers and signals."""

    def __init__(
        self, loop: Loop, model: TargetModel, config: TargetConfig
    ) -> None:
        """Prepare to serve a model; `start` opens the ports."""
        self._loop = loop
        self._model = model
        self._config = config
        self._instance = uuid.uuid4().hex
        self._reporter = Reporter.from_config(
            config.port, self._instance, config.report_port
        )
        self._node = ClientPool(loop, HOST, config.node_target_port)
        self._is_announcing = True
        self._active_at = loop.now()
        self._parents: dict[Exchange, str] = {}
        self._chains: dict[Exchange, Client] = {}

    def start(self) -> None:
        """Open the ports and begin to announce the target each second."""
        self._loop.on_signal = self._handle_signal
        self._reporter.report_serving()
        calls = Server(self._serve, self._handle_connected, self._handle_closed)
        calls.listen(self._loop, HOST, self._config.port)
        control = Server(self._control)
        control.listen(self._loop, HOST, self._config.control_port)
        self._announce_each_second()

    @functools.singledispatchmethod
    def carry_out(self, effect: Any) -> None:
        """Carry out one effect.

        Raises:
            TypeError: If the type of the effect is unknown.
        """
        raise TypeError(f'unknown effect {effect!r}')

    @carry_out.register
    def _wait(self, effect: msg.Wait) -> None:
        ended = functools.partial(self._run_model, msg.WaitEnded(effect.token))
        self._loop.call_later(effect.seconds, ended)

    @carry_out.register
    def _reply(self, effect: msg.Reply) -> None:
        exchange = effect.token
        call_id = effect.content.get('call', '')
        repeated = {
            'X-Call-Id': call_id,
            'Daisyline-Call': self._parents.pop(exchange, ''),
        }
        headers = {name: text for name, text in repeated.items() if text}
        exchange.write_answer = functools.partial(
            deliver,
            self._delivery_of(exchange),
            connection=exchange.connection,
            loop=self._loop,
        )
        exchange.answer(effect.status, effect.content, headers)

    def _delivery_of(self, exchange: Exchange) -> Delivery:
        request = exchange.request
        if request is not None and request.path.startswith(BROKEN_PREFIX):
            return BROKEN_LATE
        return DELIVERIES[self._model.faults.answers]

    @carry_out.register
    def _call_on(self, effect: msg.CallService) -> None:
        plan = self._model.plan
        headers = {'Host': plan.chain_service or plan.service}
        parent = self._parents.get(effect.token)
        if parent:
            headers['Daisyline-Call'] = parent
        request = Message('GET', effect.path, headers=headers)
        self._chains[effect.token] = self._node.call(
            request,
            functools.partial(self._handle_chained_call_end, effect.token),
        )

    @carry_out.register
    def _crash(self, effect: msg.Crash) -> None:
        sys.stderr.write('target: crashed by a request or a fault\n')
        os.kill(os.getpid(), signal.SIGKILL)

    @carry_out.register
    def _stop(self, effect: msg.Stop) -> None:
        self._loop.call_later(IDLE_BEFORE_STOP_S, self._stop_if_idle)

    def _run_model(self, message: Any) -> None:
        effects = self._model.handle(message, self._loop.now())
        self._reporter.report_violations(self._model.records.violations)
        for effect in effects:
            self.carry_out(effect)

    def _serve(self, exchange: Exchange) -> None:
        request = exchange.request
        assert request is not None
        if request.path == LOAD_PATH:
            self._run_model(msg.LoadRequested(exchange))
            return
        self._active_at = self._loop.now()
        headers = request.headers
        self._parents[exchange] = headers.get('daisyline-call', '')
        budget = headers.get('daisyline-deadline-ms', '')
        call = msg.CallReceived(
            token=exchange,
            call_id=headers.get('x-call-id', ''),
            method=request.method,
            path=request.path,
            budget_ms=int(budget) if budget.isdigit() else None,
            is_body_changed=is_body_changed(request),
        )
        self._reporter.report_start(call, self._loop.now())
        self._run_model(call)

    def _handle_connected(self, exchange: Exchange) -> None:
        self._run_model(msg.ConnectionOpened(exchange))

    def _handle_closed(self, exchange: Exchange) -> None:
        self._parents.pop(exchange, None)
        chain = self._chains.pop(exchange, None)
        if chain is not None:
            chain.connection.abort()
        self._run_model(msg.CallCancelled(exchange))
        self._run_model(msg.ConnectionClosed(exchange))

    def _handle_chained_call_end(
        self, exchange: Exchange, ending: Message | LostCall
    ) -> None:
        self._chains.pop(exchange, None)
        self._run_model(msg.ChainedCallEnded(exchange, _status_of(ending)))

    def _control(self, exchange: Exchange) -> None:
        request = exchange.request
        assert request is not None
        if request.path == '/control/calls':
            exchange.answer(OK, self._model.records.to_json())
        elif request.path == '/control/counts':
            exchange.answer(OK, self._model.records.counts)
        elif request.path == '/control/faults':
            self._set_faults(request.json() or {})
            exchange.answer(OK, attrs.asdict(self._model.faults))
        else:
            exchange.answer(NOT_FOUND, {})

    def _set_faults(self, fields: dict[str, Any]) -> None:
        if fields.get('crash'):
            self.carry_out(msg.Crash())
        if fields.get('cold'):
            self._model.turn_cold()
        self._is_announcing = not fields.get('unannounced', False)
        self._model.faults = TargetFaults.from_fields(fields)

    def _announce_each_second(self) -> None:
        if self._is_announcing:
            self._announce()
        self._loop.call_later(ANNOUNCE_INTERVAL_S, self._announce_each_second)

    def _announce(self) -> None:
        content = {
            'service': self._model.plan.service,
            'version': self._model.plan.version,
            'instance': self._instance,
            'host': HOST,
            'port': self._config.announced_port or self._config.port,
            'phase': self._model.phase,
        }
        self._node.call(Message.post_json('/announce', content), _ignore)

    def _handle_signal(self, _number: int) -> None:
        already = self._model.leaving
        self._run_model(msg.Drain())
        if not already:
            self._announce()

    def _stop_if_idle(self) -> None:
        """Stop once no call has arrived for `IDLE_BEFORE_STOP_S`.

        Nodes may still send calls until the announcement reaches them.
        """
        idle_s = self._loop.now() - self._active_at
        if self._model.running:
            return
        if idle_s >= IDLE_BEFORE_STOP_S:
            self._loop.stop()
        else:
            self._loop.call_later(
                IDLE_BEFORE_STOP_S - idle_s, self._stop_if_idle
            )


@functools.singledispatch
def _status_of(ending: Any) -> int:
    """Return the HTTP status of an answer, or 0 for a lost call."""
    return 0


@_status_of.register
def _(ending: Message) -> int:
    return ending.status


def is_body_changed(request: Message) -> bool:
    """Return whether a body is not the one that its caller stated."""
    stated = request.headers.get(msg.DIGEST_HEADER.lower())
    return stated is not None and stated != msg.digest_of(request.body)


def _ignore(_ending: Message | LostCall) -> None:
    """Do nothing; the target announces itself again a second later."""


def main(
    *,
    config: Annotated[TargetConfig, cyclopts.Parameter(name='*')],
    plan: Annotated[TargetPlan, cyclopts.Parameter(name='*')],
) -> None:
    """Serve calls until a signal arrives and the target is idle."""
    loop = Loop.create()
    model = TargetModel.from_plan(plan, config.seed)
    TargetProcess(loop, model, config).start()
    loop.run()


if __name__ == '__main__':
    # `--version` sets the version of the service, so cyclopts must not use it.
    app = cyclopts.App(version_flags=[])
    app.default(main)
    app()
