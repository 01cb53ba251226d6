"""Handlers that carry out the effects of decisions on a node's sockets."""

import functools
from collections.abc import Callable
from typing import Any

import attrs

from daisyline.coordination import internal_effects
from daisyline.coordination.admission.pace_events import ProbeTarget
from daisyline.coordination.calls import call_events as ev
from daisyline.coordination.departures.departure_events import DeparturesStored
from daisyline.coordination.duties.duty_events import (
    DropUnsentReports,
    ReportUsage,
)
from daisyline.coordination.effects import (
    CheckPresence,
    DropPlatformCalls,
    PlatformList,
    PlatformRead,
    PlatformWatch,
    PlatformWrite,
    Send,
)
from daisyline.coordination.membership.fleet_events import (
    SendToAddress,
    SettingsRefused,
)
from daisyline.coordination.node_core import NodeCore
from daisyline.protocol.front_end import FrontEnd
from daisyline.transport.duty_client import DutyClient
from daisyline.transport.loop import Loop
from daisyline.transport.memory_guard import MemoryGuard
from daisyline.transport.platform_client import PlatformClient
from daisyline.transport.ports import Ports
from daisyline.transport.streams import Identity, Streams
from daisyline.transport.target_pool import TargetPool


@attrs.frozen
class Transports:
    """The connections of a node, by the kind of peer.

    Attributes:
        streams: The streams to and from other nodes.
        platform: The client of the platform.
        ports: The connections that callers and the target opened.
        pool: The connections to the target.
        log: A logger with loguru's methods.
        duties: The client for single-holder duties; None without them.
    """

    streams: Streams
    platform: PlatformClient
    ports: Ports
    pool: TargetPool
    log: Any = None
    duties: DutyClient | None = None

    @classmethod
    def from_config(
        cls,
        config: Any,
        front: FrontEnd,
        loop: Loop,
        core: NodeCore,
        on_event: Callable[[Any], None],
    ) -> 'Transports':
        """Build the connections of a node without listeners.

        Args:
            config: The node's settings, a `NodeConfig`.
            front: The protocols for callers, the target and the platform.
            loop: The loop of the node.
            core: The decisions of the node.
            on_event: Receives the events of the sockets.
        """
        own_member = core.fleet.own_member
        start = own_member.incarnation
        identity = Identity(config.cluster, own_member.name, start)
        address = config.platform_address
        streams = Streams(loop, identity, on_event, MemoryGuard.from_core(core))
        streams.calls.record = core.events.add
        return cls(
            streams=streams,
            platform=PlatformClient(
                loop, address, on_event, front.platform_codec
            ),
            ports=Ports(loop, core, start, on_event, front, config.service),
            pool=TargetPool(loop, on_event, front.dialect),
            duties=_duty_client(front, loop, on_event),
        )


def _duty_client(
    front: FrontEnd, loop: Loop, on_event: Callable[[Any], None]
) -> DutyClient | None:
    if front.duty_address is None or front.duty_codec is None:
        return None
    return DutyClient(loop, front.duty_address, on_event, front.duty_codec)


@functools.singledispatch
def perform(effect: Any, transports: Transports) -> None:
    """Carry out one effect.

    Raises:
        TypeError: If no handler is registered for the effect.
    """
    raise TypeError(f'no handler is registered for {effect!r}')


@perform.register
def _(effect: Send, transports: Transports) -> None:
    transports.streams.send(effect.node, effect.message)


@perform.register
def _(effect: SendToAddress, transports: Transports) -> None:
    transports.streams.send_to_address(effect.host, effect.port, effect.message)


@perform.register
def _(effect: ev.SendReply, transports: Transports) -> None:
    transports.streams.reply(effect.node, effect.message)


@perform.register(PlatformRead)
@perform.register(PlatformList)
@perform.register(PlatformWatch)
@perform.register(PlatformWrite)
def _perform_platform_call(effect: Any, transports: Transports) -> None:
    transports.platform.call(effect)


@perform.register
def _(effect: DropPlatformCalls, transports: Transports) -> None:
    transports.platform.drop_calls()


@perform.register
def _(effect: DeparturesStored, transports: Transports) -> None:
    transports.ports.acknowledgements.send_all()


@perform.register
def _(effect: ReportUsage, transports: Transports) -> None:
    assert transports.duties is not None, 'a report without an address'
    transports.duties.call(effect)


@perform.register
def _(effect: DropUnsentReports, transports: Transports) -> None:
    if transports.duties is not None:
        transports.duties.drop_unsent()


@perform.register
def _(effect: ev.AnswerCaller, transports: Transports) -> None:
    connection = transports.ports.find_caller(effect.call, effect.last)
    if connection is not None:
        connection.send_answer(effect)


@perform.register
def _(effect: ev.AnswerCallerPart, transports: Transports) -> None:
    connection = transports.ports.find_caller(effect.call, effect.last)
    if connection is not None:
        connection.send_part(effect)


@perform.register
def _(effect: ev.RefuseCaller, transports: Transports) -> None:
    connection = transports.ports.find_caller(effect.call, last=True)
    if connection is not None:
        connection.send_refusal(effect)


@perform.register
def _(effect: ev.AbortCaller, transports: Transports) -> None:
    connection = transports.ports.find_caller(effect.call, last=True)
    if connection is not None:
        connection.abort_answer(effect)


@perform.register
def _(effect: ev.ExpireAnswer, transports: Transports) -> None:
    connection = transports.ports.find_caller(effect.call, last=False)
    if connection is not None:
        connection.expire_answer(effect.call)


@perform.register
def _(effect: internal_effects.TargetChanged, transports: Transports) -> None:
    transports.pool.update_target(effect.target)


@perform.register
def _(effect: ev.StartTargetCall, transports: Transports) -> None:
    transports.pool.start_call(effect)


@perform.register
def _(effect: ProbeTarget, transports: Transports) -> None:
    transports.pool.probe_pace(effect.path)


@perform.register
def _(effect: CheckPresence, transports: Transports) -> None:
    transports.pool.presence.check(effect.number)


@perform.register
def _(effect: ev.AbortTargetCall, transports: Transports) -> None:
    transports.pool.abort_call(effect.call)


@perform.register
def _(effect: ev.PauseTargetRead, transports: Transports) -> None:
    transports.pool.pause_read(effect.call)


@perform.register
def _(effect: ev.ResumeTargetRead, transports: Transports) -> None:
    transports.pool.resume_read(effect.call)


@perform.register
def _(effect: SettingsRefused, transports: Transports) -> None:
    for finding in effect.findings:
        transports.log.warning(
            f'Settings {effect.version} are refused: {finding}.'
        )
