"""A node: its decisions, its sockets and the loop that joins them."""

import gc
import math
import random
import signal
import time
from collections.abc import Callable
from typing import Any, Protocol

import attrs

from daisyline.coordination import node_handlers
from daisyline.coordination.call_events import ProcessPaused
from daisyline.coordination.node_core import NodeCore
from daisyline.protocol.front_end import FrontEnd
from daisyline.state.members import Member
from daisyline.transport.deadlines import Deadline
from daisyline.transport.effects import Outlets, perform
from daisyline.transport.file_watch import FileWatcher
from daisyline.transport.log_lines import DecisionLog, LineWriter
from daisyline.transport.loop import Loop
from daisyline.transport.operators import OperatorsPort

_NS_PER_US = 1_000
# Collections of the oldest objects take milliseconds, so they are made rare.
_COLLECT_AT = (20_000, 50, 100)
_STOP_CHECK_S = 0.05
# After it says that it leaves, a node takes calls from others for so long
# that they have heard of it, in seconds.
_LEAVE_S = 1.0


class NodeConfig(Protocol):
    """What a node is told at its start; `NodeSettings` is one."""

    name: str
    zone: str
    region: str
    host: str
    cluster: str
    callers_port: int
    peers_port: int
    target_port: int
    operators_port: int
    peers: tuple[tuple[str, int], ...]

    @property
    def target_host(self) -> str:
        """Return the IP number that the target beside it calls."""

    @property
    def ready_port(self) -> int:
        """Return the TCP port that is asked for readiness."""

    @property
    def service(self) -> str:
        """Return the service beside it, if that is known at the start."""

    @property
    def platform_address(self) -> tuple[str, int]:
        """Return the IP number and the TCP port of the platform."""


class _Inlet:
    """Passes events on to a node that is made after its sockets."""

    def __init__(self) -> None:
        """Refuse events until a node takes them."""
        self.take: Callable[[Any], None] = _no_node

    def __call__(self, event: Any) -> None:
        self.take(event)


class Node:
    """One node at work.

    Attributes:
        core: Its decisions.
        decisions: Where they are written; None if they are only kept.
    """

    def __init__(
        self, loop: Loop, core: NodeCore, outlets: Outlets, front: FrontEnd
    ) -> None:
        """Join the parts; nothing is listened on yet."""
        self._loop = loop
        self._outlets = outlets
        self._front = front
        self._arming = False
        self._tick: Deadline | None = None
        self._tick_at = math.inf
        self._stop_by: float | None = None
        self.core = core
        self.decisions: DecisionLog | None = None

    @classmethod
    def from_config(
        cls, config: NodeConfig, log: Any, front: FrontEnd | None = None
    ) -> 'Node':
        """Build a node that listens on the ports of its settings.

        Args:
            config: Its settings.
            log: A logger with loguru's methods.
            front: How it speaks with callers, its target and the platform.

        Raises:
            OSError: If a port can't be bound.
        """
        front = front or FrontEnd()
        loop = Loop.create()
        me = _member(config)
        rng = random.Random(f'{me.name}-{me.incarnation}')
        core = NodeCore.from_config(
            me, config.cluster, config.peers, rng, loop.now(), front.read_config
        )
        core.lease_s = front.lease_s
        inlet = _Inlet()
        outlets = Outlets.from_config(config, front, loop, core, inlet)
        node = cls(loop, core, attrs.evolve(outlets, log=log), front)
        if front.logs_decisions:
            node.decisions = DecisionLog(LineWriter(loop), me.name)
            core.events.add_sink(node.decisions.record_event)
        inlet.take = node.take
        node._listen(config, front.ready_path)
        return node

    def run(self) -> None:
        """Run until the node is told to stop and its calls are done."""
        gc.collect()
        gc.freeze()
        gc.set_threshold(*_COLLECT_AT)
        gc.enable()
        self._run_tick()
        self._loop.handle_hangup()
        self._loop.run()
        if self.decisions is not None:
            self.decisions.flush()

    def take(self, event: Any) -> None:
        """Hand an event to the decisions and carry out what follows."""
        self._carry_out(
            node_handlers.handle(event, self.core, self._loop.now())
        )

    def stop(self) -> None:
        """Leave gracefully: no new work, and no call in progress is cut."""
        if self._stop_by is not None:
            return
        now = self._loop.now()
        self._stop_by = now + self._front.stop_s
        self._outlets.log.info('Stopping once the calls in progress are done.')
        self.core.is_leaving = True
        self._outlets.ports.announce_closing()
        # Until callers have been sent elsewhere, the target is still of use.
        notice_s = self._front.notice_s
        self._loop.call_later(max(0, notice_s - _LEAVE_S), self._leave)
        self._loop.call_later(notice_s, self._outlets.ports.stop_accepting)

    def reload(self) -> None:
        """Read the node's own settings again and use what may change."""
        answer = self._front.reload()
        log = self._outlets.log
        for finding in answer.findings:
            log.warning(f'Settings of this node: {finding}.')
        if answer.front is not None:
            self._front = answer.front
            self.core.lease_s = answer.front.lease_s
            self._outlets.platform.set_endpoint(
                answer.platform, answer.front.store
            )
        changed = ', '.join(answer.changed) or 'nothing'
        log.info(f'Settings of this node were read again; changed: {changed}.')

    def _listen(self, config: NodeConfig, ready_path: str) -> None:
        self._loop.poller.on_pause = self._paused
        self._loop.on_signal = self._signalled
        if self._front.settings_path:
            FileWatcher(self._loop, self._front.settings_path, self.reload)
        outlets = self._outlets
        outlets.pool.limit = self._connections_per_server
        outlets.streams.members = lambda: self.core.fleet.members
        outlets.streams.awaits_reply = self._awaits
        outlets.streams.listen(config.host, config.peers_port)
        outlets.ports.listen_to_callers(config.host, config.callers_port)
        outlets.ports.listen_to_target(config.target_host, config.target_port)
        operators = OperatorsPort(self._loop, self.core, ready_path)
        operators.listen(config.host, config.operators_port)
        if config.ready_port != config.operators_port:
            operators.listen(config.host, config.ready_port)

    def _awaits(self, node: str) -> bool:
        return bool(self.core.entry.calls_on_node(node))

    def _connections_per_server(self) -> int:
        target = self.core.target_side.target
        zone = self.core.fleet.own_member.zone
        service = '' if target is None else target.service
        limits = self.core.fleet.settings.limits_for(service, zone)
        return limits.connections_per_server

    def _carry_out(self, effects: list[Any]) -> None:
        for effect in effects:
            perform(effect, self._outlets)
        if not self._arming:
            self._arming = True
            self._loop.defer(self._arm)

    def _arm(self) -> None:
        """Set the timer, once a turn, if something is due before it fires."""
        self._arming = False
        due_at = self.core.next_at()
        if due_at >= self._tick_at:
            return
        if self._tick is not None:
            self._tick.cancel()
        self._tick_at = due_at
        self._tick = self._loop.call_at(due_at, self._run_tick)

    def _run_tick(self) -> None:
        self._tick_at = math.inf
        self._tick = None
        self._carry_out(node_handlers.tick(self.core, self._loop.now()))

    def _paused(self, gap_s: float) -> None:
        self._outlets.log.warning(f'Stood still for {gap_s:.1f} s.')
        self.take(ProcessPaused(gap_s))

    def _signalled(self, number: int) -> None:
        if number in {signal.SIGTERM, signal.SIGINT}:
            self.stop()
        elif number == signal.SIGHUP:
            self.reload()

    def _leave(self) -> None:
        self._carry_out(node_handlers.leave(self.core, self._loop.now()))
        self._loop.call_later(_LEAVE_S, self._refuse_peers)

    def _refuse_peers(self) -> None:
        self.core.target_side.stopping = True
        self._finish_stop()

    def _finish_stop(self) -> None:
        """End the loop once nothing is in progress or time is up."""
        busy = self._outlets.ports.busy_connections + len(
            self.core.target_side.calls
        )
        overdue = self._loop.now() > (self._stop_by or 0)
        if busy and not overdue:
            self._loop.call_later(_STOP_CHECK_S, self._finish_stop)
            return
        self._outlets.log.info(f'Stopped with {busy} calls in progress.')
        self._outlets.streams.close()
        self._loop.stop()


def _member(config: NodeConfig) -> Member:
    return Member(
        name=config.name,
        host=config.host,
        port=config.peers_port,
        zone=config.zone,
        region=config.region,
        incarnation=time.time_ns() // _NS_PER_US,
        operators_port=config.operators_port,
    )


def _no_node(event: Any) -> None:
    raise RuntimeError(f'{event!r} came before the node was made')
