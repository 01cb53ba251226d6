"""Refuses calls of other nodes whose bodies find no room."""

from daisyline.coordination.calls.call_events import CallBodyRefused
from daisyline.coordination.node_core import Effects, NodeCore
from daisyline.state.failures import Failure, Reason


def refuse_body(event: CallBodyRefused, core: NodeCore, now: float) -> Effects:
    """Refuse a call as not run; its entry node may try another target."""
    failure = Failure(Reason.OVERLOADED, detail='memory is short')
    return [
        core.target_side.refusal_reply(event.node, event.call, failure, now)
    ]
