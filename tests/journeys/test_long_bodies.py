"""Long bodies of calls between nodes, as processes."""

import contextlib

from daisyline.coordination.calls.messages import (
    CancelCall,
    RequestPart,
    RunCall,
)
from tests.builders import run_message
from tests.fixtures import wait_until
from tests.journeys.node_peer import open_stream
from tests.journeys.users_rig import UsersFleet
from tests.support import function_tests

load_tests = function_tests(__name__)

PART = bytes(1000)
CANCELLED = 'cancelled'
WHOLE = 'whole'


def test_a_request_runs_with_its_whole_body_or_not_at_all(
    users_fleet: UsersFleet,
) -> None:
    # Guards against a target that runs a request without the start of its body:
    # its node reads the end on one stream after the cancellation on the next.
    port = users_fleet.places[0].ports['peers']
    with open_stream(port) as older, open_stream(port) as newer:
        older.send(RequestPart(CANCELLED, PART))
        assert older.has_read(1)
        newer.send(CancelCall(CANCELLED))
        assert newer.has_read(1)
        with contextlib.suppress(OSError):
            older.send(RequestPart(CANCELLED, PART), _run(CANCELLED))
            older.has_read(2)
        newer.send(RequestPart(WHOLE, PART), _run(WHOLE))
        wait_until(lambda: WHOLE in _body_bytes(users_fleet))
    assert _body_bytes(users_fleet) == {WHOLE: 2 * len(PART)}


def _run(call: str) -> RunCall:
    return run_message(
        call,
        service='shop',
        method=b'POST',
        path=b'/pages/1',
        headers=((b'Attempt-Id', call.encode()),),
        body=PART,
    )


def _body_bytes(fleet: UsersFleet) -> dict[str, int]:
    """Return the lengths of the bodies that targets ran, by request."""
    return {
        run['id']: run['body_bytes']
        for place in fleet.places
        for run in place.control_target()['ran']
    }
