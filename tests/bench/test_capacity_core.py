"""The rig that measures a node's decisions runs calls on both sides."""

from bench.capacity_core import CoreRig, make_run_call
from daisyline.coordination.calls import messages as msg
from tests.support import function_tests

load_tests = function_tests(__name__)


def test_an_offered_call_has_every_field_of_the_message() -> None:
    run = make_run_call('n1-1-1')
    assert run.call == 'n1-1-1'
    assert run.objective_ms == msg.NO_OBJECTIVE


def test_calls_pass_through_the_entry_and_the_target_side() -> None:
    rig = CoreRig.from_members(3, upstreams=2)
    rig.announce()
    rig.run_as_entry()
    rig.run_as_target()
    assert not rig.core.entry.calls
    assert not rig.core.target_side.calls
