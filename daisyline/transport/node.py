"""A node: the loop that runs its decisions on its sockets."""

import math
import random
import signal
import time
from collections.abc import Callable
from typing import Any, Protocol

import attrs

from daisyline.coordination import node_handlers
from daisyline.coordination.calls.call_events import ProcessPaused
from daisyline.coordination.memory.memory_account import limit_of
from daisyline.coordination.node_core import NodeCore
from daisyline.protocol.front_end import FrontEnd
from daisyline.state.members import Member
from daisyline.transport.deadlines import Deadline
from daisyline.transport.effect_handlers import Transports, perform
from daisyline.transport.file_watch import FileWatcher
from daisyline.transport.heap import collect_rarely, map_large_blocks
from daisyline.transport.log_lines import DecisionLog, LineWriter
from daisyline.transport.loop import Loop
from daisyline.transport.operators import OperatorsPort

_NS_PER_US = 1_000
_STOP_CHECK_INTERVAL_S = 0.05
# After it announces that it leaves, a node accepts calls from other nodes for
# this time, until all of them have received the announcement.
_LEAVE_NOTICE_S = 1.0
# Peers read the last messages and close their streams within this time. A
# socket that is closed with unread bytes would be reset.
_STREAM_CLOSE_S = 0.1


class NodeConfig(Protocol):
    """The settings of a node at its start, e.g. a `NodeSettings`."""

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
        """Return the IP address on which the node listens to its target."""

    @property
    def ready_port(self) -> int:
        """Return the TCP port that serves readiness checks."""

    @property
    def service(self) -> str:
        """Return the service beside the node; empty if not known at start."""

    @property
    def platform_address(self) -> tuple[str, int]:
        """Return the IP address and the TCP port of the platform."""


class _EventRelay:
    """Forwards events to a node that is created after its sockets."""

    def __init__(self) -> None:
        """Reject events until the node is set."""
        self.handle_event: Callable[[Any], None] = _reject_event

    def __call__(self, event: Any) -> None:
        self.handle_event(event)


class Node:
    """A node of the fleet, with its sockets and its loop.

    Attributes:
        core: The decisions of the node.
        decisions: The log of the decisions; None if they are not logged.
    """

    def __init__(
        self,
        loop: Loop,
        core: NodeCore,
        transports: Transports,
        front: FrontEnd,
    ) -> None:
        """Connect the parts; no port is open yet."""
        self._loop = loop
        self._transports = transports
        self._front = front
        self._arm_scheduled = False
        self._tick: Deadline | None = None
        self._tick_at = math.inf
        self._stop_deadline: float | None = None
        self._operators = OperatorsPort(loop, core, front.ready_path)
        self.core = core
        self.decisions: DecisionLog | None = None

    @classmethod
    def from_config(
        cls, config: NodeConfig, log: Any, front: FrontEnd | None = None
    ) -> 'Node':
        """Build a node that listens on the ports of its settings.

        Args:
            config: The settings of the node.
            log: A logger with loguru's methods.
            front: The protocols for callers, the target and the platform.

        Raises:
            OSError: If a port can't be bound.
        """
        front = front or FrontEnd()
        loop = Loop.create()
        own_member = _own_member(config)
        rng = random.Random(f'{own_member.name}-{own_member.incarnation}')
        core = NodeCore.from_config(
            own_member,
            config.cluster,
            config.peers,
            rng,
            loop.now(),
            front.read_config,
        )
        core.lease_s = front.lease_s
        core.duties.config = front.duty_config
        core.duties.wall_clock = time.time
        core.memory.limit_bytes = limit_of(front.memory_mb)
        relay = _EventRelay()
        transports = Transports.from_config(config, front, loop, core, relay)
        node = cls(loop, core, attrs.evolve(transports, log=log), front)
        if front.logs_decisions:
            node.decisions = DecisionLog(LineWriter(loop), own_member.name)
            core.events.add_sink(node.decisions.record_event)
        relay.handle_event = node.handle_event
        node._listen(config)
        return node

    def run(self) -> None:
        """Run until the node is stopped and its calls have ended."""
        map_large_blocks()
        collect_rarely()
        self._run_tick()
        self._loop.handle_hangup()
        self._loop.run()
        if self.decisions is not None:
            self.decisions.flush()

    def handle_event(self, event: Any) -> None:
        """Pass an event to the decisions and carry out their effects."""
        self._carry_out(
            node_handlers.handle(event, self.core, self._loop.now())
        )

    def stop(self) -> None:
        """Shut down gracefully: finish the calls in progress, accept no more.

        Only the time limit of the front end, `stop_s`, aborts a call.
        """
        if self._stop_deadline is not None:
            return
        now = self._loop.now()
        self._stop_deadline = now + self._front.stop_timeout_s
        self._transports.log.info(
            'Stopping once the calls in progress have ended.'
        )
        self.core.is_leaving = True
        self._transports.ports.announce_closing()
        # Callers need the target until they are redirected to other nodes.
        notice_s = self._front.stop_notice_s
        self._loop.call_later(max(0, notice_s - _LEAVE_NOTICE_S), self._leave)
        self._loop.call_later(notice_s, self._transports.ports.stop_accepting)

    def reload(self) -> None:
        """Reload the node's settings and apply those that may change."""
        reloaded = self._front.reload()
        log = self._transports.log
        for finding in reloaded.findings:
            log.warning(f'Settings of this node: {finding}.')
        if reloaded.front_end is not None:
            self._front = reloaded.front_end
            self.core.lease_s = reloaded.front_end.lease_s
            self.core.memory.limit_bytes = limit_of(self._front.memory_mb)
            self._transports.platform.set_endpoint(
                reloaded.platform, reloaded.front_end.platform_codec
            )
            duties = self._transports.duties
            if duties is not None and self._front.duty_address is not None:
                duties.use_address(self._front.duty_address)
        changed = ', '.join(reloaded.changed) or 'nothing'
        log.info(f'Settings of this node were reloaded; changed: {changed}.')

    def _listen(self, config: NodeConfig) -> None:
        self._loop.poller.on_pause = self._handle_pause
        self._loop.on_signal = self._handle_signal
        if self._front.settings_path:
            FileWatcher(
                self._loop,
                self._front.settings_path,
                self.reload,
                self._front.settings_stamp,
            )
        transports = self._transports
        transports.pool.connection_limit = self._connections_per_server
        transports.streams.members = lambda: self.core.fleet.members
        transports.streams.awaits_reply = self._awaits_answer
        transports.streams.listen(config.host, config.peers_port)
        transports.ports.listen_to_callers(config.host, config.callers_port)
        transports.ports.listen_to_target(
            config.target_host, config.target_port
        )
        self._operators.listen(config.host, config.operators_port)
        if config.ready_port != config.operators_port:
            self._operators.listen(config.host, config.ready_port)

    def _awaits_answer(self, node: str) -> bool:
        return bool(self.core.entry.calls_on_node(node))

    def _connections_per_server(self) -> int:
        target = self.core.target_side.target
        zone = self.core.fleet.own_member.zone
        service = '' if target is None else target.service
        limits = self.core.fleet.settings.limits_for(service, zone)
        return limits.connections_per_server

    def _carry_out(self, effects: list[Any]) -> None:
        for effect in effects:
            perform(effect, self._transports)
        if not self._arm_scheduled:
            self._arm_scheduled = True
            self._loop.defer(self._arm_timer)

    def _arm_timer(self) -> None:
        """Set the timer of the next tick if the current one is too late.

        It runs at most once in each iteration of the loop.
        """
        self._arm_scheduled = False
        next_at = self.core.next_at()
        if next_at >= self._tick_at:
            return
        if self._tick is not None:
            self._tick.cancel()
        self._tick_at = next_at
        self._tick = self._loop.call_at(next_at, self._run_tick)

    def _run_tick(self) -> None:
        self._tick_at = math.inf
        self._tick = None
        self._carry_out(node_handlers.tick(self.core, self._loop.now()))

    def _handle_pause(self, gap_s: float) -> None:
        self._transports.log.warning(
            f'The process was paused for {gap_s:.1f} s.'
        )
        self.handle_event(ProcessPaused(gap_s))

    def _handle_signal(self, number: int) -> None:
        if number in {signal.SIGTERM, signal.SIGINT}:
            self.stop()
        elif number == signal.SIGHUP:
            self.reload()

    def _leave(self) -> None:
        self._carry_out(node_handlers.leave(self.core, self._loop.now()))
        self._loop.call_later(_LEAVE_NOTICE_S, self._refuse_peers)

    def _refuse_peers(self) -> None:
        self.core.target_side.stopping = True
        self._finish_stop()

    def _finish_stop(self) -> None:
        """End the calls: wait until none is in progress or time is up.

        From then on no request is received, as its call could not end.
        Answers that are unfinished are reset, so that none looks whole.
        """
        ports = self._transports.ports
        in_progress = ports.busy_connections + len(self.core.target_side.calls)
        if in_progress and not self._is_stop_overdue():
            self._loop.call_later(_STOP_CHECK_INTERVAL_S, self._finish_stop)
            return
        self._transports.log.info(
            f'Stopped with {in_progress} calls in progress.'
        )
        ports.close()
        self._finish_sending()

    def _finish_sending(self) -> None:
        """Send what other nodes and operators still have to get, then end."""
        streams = self._transports.streams
        is_unsent = streams.has_unsent_bytes or self._operators.has_unsent_bytes
        if is_unsent and not self._is_stop_overdue():
            self._loop.call_later(_STOP_CHECK_INTERVAL_S, self._finish_sending)
            return
        streams.shut_down()
        self._loop.call_later(_STREAM_CLOSE_S, self._end)

    def _is_stop_overdue(self) -> bool:
        return self._loop.now() > (self._stop_deadline or 0)

    def _end(self) -> None:
        # Answers that were not sent by now are cut, and must not look whole.
        self._transports.ports.close()
        self._transports.streams.close()
        self._loop.stop()


def _own_member(config: NodeConfig) -> Member:
    return Member(
        name=config.name,
        host=config.host,
        port=config.peers_port,
        zone=config.zone,
        region=config.region,
        incarnation=time.time_ns() // _NS_PER_US,
        operators_port=config.operators_port,
    )


def _reject_event(event: Any) -> None:
    raise RuntimeError(f'{event!r} was received before the node existed')
