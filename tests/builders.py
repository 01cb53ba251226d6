"""Builders of messages for the tests of several modules."""

from typing import Any

from daisyline.coordination.calls.messages import RunCall


def run_message(call: str, **changes: Any) -> RunCall:
    """Return a message that asks a target's node to run a call."""
    defaults: dict[str, Any] = {
        'attempt': 1,
        'service': 'docs',
        'tenant': 't',
        'budget_ms': 5000,
        'repeatable': True,
        'key': '',
        'retried': False,
        'may_move': False,
        'accepts_slow_target': False,
        'settings_version': 1,
        'priority': 1,
        'objective_ms': -1,
        'method': b'GET',
        'path': b'/',
        'headers': (),
        'body': b'',
    }
    return RunCall(call=call, **defaults | changes)
