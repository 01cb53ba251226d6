"""Refuses calls of other nodes whose bodies were not read as a whole."""

from daisyline.coordination.calls.call_events import CallBodyRefused
from daisyline.coordination.node_core import Effects, NodeCore


def refuse_body(event: CallBodyRefused, core: NodeCore, now: float) -> Effects:
    """Refuse a call as not run; its entry node may try another target."""
    return [
        core.target_side.refusal_reply(
            event.node, event.call, event.failure, now
        )
    ]
