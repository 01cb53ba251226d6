"""Effects of decisions, carried out on the sockets of a node."""

import functools
from collections.abc import Callable
from typing import Any

import attrs

from daisyline.coordination import call_events as ev
from daisyline.coordination import internal_effects
from daisyline.coordination.effects import (
    PlatformList,
    PlatformRead,
    PlatformWatch,
    PlatformWrite,
    Send,
)
from daisyline.coordination.fleet_events import SendToAddress, SettingsRefused
from daisyline.coordination.node_core import NodeCore
from daisyline.coordination.pace_events import ProbeTarget
from daisyline.protocol.front_end import FrontEnd
from daisyline.transport.loop import Loop
from daisyline.transport.platform_client import PlatformClient
from daisyline.transport.ports import Ports
from daisyline.transport.stream import Identity
from daisyline.transport.streams import Streams
from daisyline.transport.target_pool import TargetPool


@attrs.frozen
class Outlets:
    """The ways out of a node.

    Attributes:
        streams: To and from other nodes.
        platform: Calls on the platform.
        ports: Callers' and the target's connections.
        pool: Connections to the target.
        log: A logger with loguru's methods.
    """

    streams: Streams
    platform: PlatformClient
    ports: Ports
    pool: TargetPool
    log: Any = None

    @classmethod
    def from_config(
        cls,
        config: Any,
        front: FrontEnd,
        loop: Loop,
        core: NodeCore,
        on_event: Callable[[Any], None],
    ) -> 'Outlets':
        """Build the ways out of a node; nothing is listened on yet.

        Args:
            config: The node's settings, a `NodeConfig`.
            front: How it speaks with callers, its target and the platform.
            loop: Its loop.
            core: Its decisions.
            on_event: Takes what the sockets bring.
        """
        me = core.fleet.own_member
        start = me.incarnation
        identity = Identity(config.cluster, me.name, start)
        address = config.platform_address
        return cls(
            streams=Streams(loop, identity, on_event),
            platform=PlatformClient(loop, address, on_event, front.store),
            ports=Ports(loop, core, start, on_event, front, config.service),
            pool=TargetPool(loop, on_event, front.dialect),
        )


@functools.singledispatch
def perform(effect: Any, outlets: Outlets) -> None:
    """Carry out one effect.

    Raises:
        TypeError: If no handler is registered for it.
    """
    raise TypeError(f'no one carries out {effect!r}')


@perform.register
def _(effect: Send, outlets: Outlets) -> None:
    outlets.streams.send(effect.node, effect.message)


@perform.register
def _(effect: SendToAddress, outlets: Outlets) -> None:
    outlets.streams.send_to_address(effect.host, effect.port, effect.message)


@perform.register
def _(effect: ev.SendReply, outlets: Outlets) -> None:
    outlets.streams.reply(effect.node, effect.message)


@perform.register(PlatformRead)
@perform.register(PlatformList)
@perform.register(PlatformWatch)
@perform.register(PlatformWrite)
def _platform(effect: Any, outlets: Outlets) -> None:
    outlets.platform.call(effect)


@perform.register
def _(effect: ev.AnswerCaller, outlets: Outlets) -> None:
    connection = outlets.ports.find_caller(effect.call, effect.last)
    if connection is not None:
        connection.answer(effect)


@perform.register
def _(effect: ev.AnswerCallerPart, outlets: Outlets) -> None:
    connection = outlets.ports.find_caller(effect.call, effect.last)
    if connection is not None:
        connection.part(effect)


@perform.register
def _(effect: ev.RefuseCaller, outlets: Outlets) -> None:
    connection = outlets.ports.find_caller(effect.call, last=True)
    if connection is not None:
        connection.refuse(effect)


@perform.register
def _(effect: ev.AbortCaller, outlets: Outlets) -> None:
    connection = outlets.ports.find_caller(effect.call, last=True)
    if connection is not None:
        connection.cut()


@perform.register
def _(effect: internal_effects.TargetChanged, outlets: Outlets) -> None:
    outlets.pool.use_target(effect.target)


@perform.register
def _(effect: ev.StartTargetCall, outlets: Outlets) -> None:
    outlets.pool.start(effect)


@perform.register
def _(effect: ProbeTarget, outlets: Outlets) -> None:
    outlets.pool.probe(effect.path)


@perform.register
def _(effect: ev.AbortTargetCall, outlets: Outlets) -> None:
    outlets.pool.abort(effect.call)


@perform.register
def _(effect: ev.PauseTargetRead, outlets: Outlets) -> None:
    outlets.pool.hold(effect.call)


@perform.register
def _(effect: ev.ResumeTargetRead, outlets: Outlets) -> None:
    outlets.pool.resume(effect.call)


@perform.register
def _(effect: SettingsRefused, outlets: Outlets) -> None:
    for finding in effect.findings:
        outlets.log.warning(
            f'Settings {effect.version} are refused: {finding}.'
        )
