"""A node: its decisions, its sockets and the loop that joins them."""

import gc
import random
import signal
import time
from typing import Any

from daisyline.coordination import node_events
from daisyline.coordination.call_events import Paused
from daisyline.coordination.node_core import NodeCore
from daisyline.state.members import Member
from daisyline.transport.deadlines import Deadline
from daisyline.transport.effects import perform
from daisyline.transport.loop import Loop
from daisyline.transport.operators import listen_to_operators
from daisyline.transport.platform_client import PlatformClient
from daisyline.transport.ports import Ports
from daisyline.transport.stream import Identity
from daisyline.transport.streams import Streams
from daisyline.transport.target_pool import TargetPool

_US_PER_S = 1_000_000
# Collections of the oldest objects take milliseconds, so they are made rare.
_COLLECT_AT = (20_000, 50, 100)
# A stop waits this long at most for calls in progress, in seconds.
_STOP_S = 30.0
_STOP_CHECK_S = 0.05
# After it says that it leaves, a node takes calls from others for so long
# that they have heard of it, in seconds.
_LEAVE_S = 1.0


class Node:
    """One node at work.

    Attributes:
        core: Its decisions.
        streams: Streams to and from other nodes.
        pool: Connections to the target.
        ports: Callers' and the target's connections.
        platform: Calls on the platform.
        log: Where it says what it does.
    """

    def __init__(self, loop: Loop, core: NodeCore, incarnation: int) -> None:
        """Join the parts; nothing is listened on yet."""
        self._loop = loop
        self._incarnation = incarnation
        self._tick: Deadline | None = None
        self._tick_at = float('inf')
        self._stop_by: float | None = None
        self.core = core
        self.pool = TargetPool(loop, self.take)
        self.pool.limit = self._connections_per_server
        self.ports = Ports(loop, core, incarnation, self.take)
        loop.poller.on_pause = self._paused
        loop.on_signal = self._signalled

    @classmethod
    def from_config(cls, config: Any, log: Any) -> 'Node':
        """Build a node that listens on the ports of its settings.

        Args:
            config: A `NodeSettings`.
            log: A logger with loguru's methods.

        Raises:
            OSError: If a port can't be bound.
        """
        loop = Loop.create()
        incarnation = time.time_ns() // (_US_PER_S // 1000)
        me = Member(
            name=config.name,
            host=config.host,
            port=config.peers_port,
            zone=config.zone,
            region=config.region,
            incarnation=incarnation,
        )
        rng = random.Random(f'{config.name}-{incarnation}')
        core = NodeCore.from_config(me, config.cluster, (), rng, loop.now())
        node = cls(loop, core, incarnation)
        node.log = log
        node._connect(config)
        return node

    def run(self) -> None:
        """Run until the node is told to stop and its calls are done."""
        gc.collect()
        gc.freeze()
        gc.set_threshold(*_COLLECT_AT)
        self._run_tick()
        self._loop.run()

    def take(self, event: Any) -> None:
        """Hand an event to the decisions and carry out what follows."""
        self._carry_out(node_events.handle(event, self.core, self._loop.now()))

    def stop(self) -> None:
        """Leave gracefully: no new work, and no call in progress is cut."""
        if self._stop_by is not None:
            return
        now = self._loop.now()
        self._stop_by = now + _STOP_S
        self.log.info('Stopping once the calls in progress are done.')
        self._carry_out(self.core.fleet.leave(now))
        self.ports.stop_accepting()
        self._loop.call_later(_LEAVE_S, self._refuse_peers)

    def _connect(self, config: Any) -> None:
        identity = Identity(config.cluster, config.name, self._incarnation)
        self.streams = Streams(self._loop, identity, self.take)
        self.streams.members = lambda: self.core.fleet.members
        self.streams.awaits = self._awaits
        self.platform = PlatformClient(
            self._loop, config.platform_address, self.take
        )
        self.streams.listen(config.host, config.peers_port)
        self.ports.listen_to_callers(config.host, config.callers_port)
        self.ports.listen_to_target('127.0.0.1', config.target_port)
        listen_to_operators(
            self, self._loop, config.host, config.operators_port
        )

    def _awaits(self, node: str) -> bool:
        return bool(self.core.entry.on_node(node))

    def _connections_per_server(self) -> int:
        target = self.core.owner.target
        zone = self.core.fleet.me.zone
        service = '' if target is None else target.service
        limits = self.core.fleet.settings.limits_for(service, zone)
        return limits.connections_per_server

    def _carry_out(self, effects: list[Any]) -> None:
        for effect in effects:
            perform(effect, self)
        self._arm()

    def _arm(self) -> None:
        """Set the timer if something is due sooner than it fires."""
        due_at = self.core.next_at()
        if due_at >= self._tick_at:
            return
        if self._tick is not None:
            self._tick.cancel()
        self._tick_at = due_at
        self._tick = self._loop.call_at(due_at, self._run_tick)

    def _run_tick(self) -> None:
        self._tick_at = float('inf')
        self._tick = None
        self._carry_out(node_events.tick(self.core, self._loop.now()))

    def _paused(self, gap_s: float) -> None:
        self.log.warning(f'Stood still for {gap_s:.1f} s.')
        self.take(Paused(gap_s))

    def _signalled(self, number: int) -> None:
        if number in {signal.SIGTERM, signal.SIGINT}:
            self.stop()

    def _refuse_peers(self) -> None:
        self.core.owner.stopping = True
        self._finish_stop()

    def _finish_stop(self) -> None:
        """End the loop once nothing is in progress or time is up."""
        busy = self.ports.busy + len(self.core.owner.jobs)
        overdue = self._loop.now() > (self._stop_by or 0)
        if busy and not overdue:
            self._loop.call_later(_STOP_CHECK_S, self._finish_stop)
            return
        self.log.info(f'Stopped with {busy} calls in progress.')
        self.streams.close()
        self._loop.stop()
