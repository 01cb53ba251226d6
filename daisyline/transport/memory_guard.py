"""Carries out on connections what the account of memory decides."""

import functools
import time
from collections.abc import Callable
from typing import Any

from daisyline.coordination import events as log
from daisyline.coordination.memory.memory_account import (
    Holder,
    MemoryAccount,
    Revoke,
    ShortageChanged,
)
from daisyline.coordination.node_core import NodeCore

OnShortage = Callable[[ShortageChanged], None]


class MemoryGuard:
    """The account of one node, as its connections use it.

    Attributes:
        account: The account.
        on_shortage: Called when a shortage of memory begins or ends.
    """

    def __init__(
        self,
        account: MemoryAccount,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        """Set the account and the clock, in monotonic seconds."""
        self._now = now
        self.account = account
        self.on_shortage: OnShortage = bool

    @classmethod
    def from_core(cls, core: NodeCore) -> 'MemoryGuard':
        """Return a guard of a node's account, which logs shortages."""
        guard = cls(core.memory)
        guard.on_shortage = functools.partial(_log_shortage, core)
        return guard

    def hold(self, holder: Holder, octets: int) -> None:
        """Record how many bytes a holder holds; take them from some if needed.

        The holder itself may lose them. Its `revoke` was called then.
        """
        if octets != holder.held_bytes:
            for effect in self.account.hold(holder, octets, self._now()):
                _carry_out(effect, self)

    def release(self, holder: Holder) -> None:
        """Record that a holder holds nothing more."""
        for effect in self.account.release(holder, self._now()):
            _carry_out(effect, self)


def _log_shortage(core: NodeCore, change: ShortageChanged) -> None:
    core.events.add(
        log.MemoryShortage(
            at=time.monotonic(),
            state='began' if change.is_short else 'ended',
            held_bytes=change.held_bytes,
            limit_bytes=change.limit_bytes,
        )
    )


@functools.singledispatch
def _carry_out(effect: Any, guard: MemoryGuard) -> None:
    """Carry out one effect of the account.

    Raises:
        TypeError: If no handler is registered for the effect.
    """
    raise TypeError(f'no handler is registered for {effect!r}')


@_carry_out.register
def _(effect: Revoke, guard: MemoryGuard) -> None:
    effect.holder.revoke(effect.cause)


@_carry_out.register
def _(effect: ShortageChanged, guard: MemoryGuard) -> None:
    guard.on_shortage(effect)
