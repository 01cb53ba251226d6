"""Effects of decisions, carried out on the sockets of a node."""

import functools
from typing import TYPE_CHECKING, Any

from daisyline.coordination import call_events as ev
from daisyline.coordination.effects import (
    PlatformList,
    PlatformRead,
    PlatformWatch,
    PlatformWrite,
    Send,
)
from daisyline.coordination.fleet_events import SendTo, SettingsRefused

if TYPE_CHECKING:
    from daisyline.transport.node import Node


@functools.singledispatch
def perform(effect: Any, node: 'Node') -> None:
    """Carry out one effect.

    Raises:
        TypeError: If no handler is registered for it.
    """
    raise TypeError(f'no one carries out {effect!r}')


@perform.register
def _(effect: Send, node: 'Node') -> None:
    node.streams.send(effect.node, effect.message)


@perform.register
def _(effect: SendTo, node: 'Node') -> None:
    node.streams.send_to(effect.host, effect.port, effect.message)


@perform.register
def _(effect: ev.Reply, node: 'Node') -> None:
    node.streams.reply(effect.node, effect.message)


@perform.register(PlatformRead)
@perform.register(PlatformList)
@perform.register(PlatformWatch)
@perform.register(PlatformWrite)
def _platform(effect: Any, node: 'Node') -> None:
    node.platform.call(effect)


@perform.register
def _(effect: ev.AnswerCaller, node: 'Node') -> None:
    connection = node.ports.take(effect.call, effect.last)
    if connection is not None:
        connection.answer(effect)


@perform.register
def _(effect: ev.AnswerCallerPart, node: 'Node') -> None:
    connection = node.ports.take(effect.call, effect.last)
    if connection is not None:
        connection.part(effect)


@perform.register
def _(effect: ev.RefuseCaller, node: 'Node') -> None:
    connection = node.ports.take(effect.call, last=True)
    if connection is not None:
        connection.refuse(effect)


@perform.register
def _(effect: ev.CutCaller, node: 'Node') -> None:
    connection = node.ports.take(effect.call, last=True)
    if connection is not None:
        connection.cut()


@perform.register
def _(effect: ev.StartTarget, node: 'Node') -> None:
    node.pool.start(effect)


@perform.register
def _(effect: ev.AbortTarget, node: 'Node') -> None:
    node.pool.abort(effect.call)


@perform.register
def _(effect: ev.HoldTarget, node: 'Node') -> None:
    node.pool.hold(effect.call)


@perform.register
def _(effect: ev.ResumeTarget, node: 'Node') -> None:
    node.pool.resume(effect.call)


@perform.register
def _(effect: SettingsRefused, node: 'Node') -> None:
    for finding in effect.findings:
        node.log.warning(f'Settings {effect.version} are refused: {finding}.')
