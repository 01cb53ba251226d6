"""Tests of the faults of a relay."""

from standins.relay_model import RelayFaults, RelayModel
from tests.support import function_tests

load_tests = function_tests(__name__)


def test_a_freeze_is_permanent_and_spares_new_connections() -> None:
    model = RelayModel()
    old = model.opened()
    assert model.freeze() == 1
    new = model.opened()
    assert [model.is_forwarding(old), model.is_forwarding(new)] == [False, True]


def test_a_refusing_relay_accepts_no_connection() -> None:
    model = RelayModel(RelayFaults(refuse=True))
    assert model.opened() is None
    assert not model.byte_handling


def test_faults_change_one_by_one() -> None:
    faults = RelayFaults(delay_ms=5).with_changes({'refuse': True, 'other': 1})
    assert faults == RelayFaults(delay_ms=5, refuse=True)
