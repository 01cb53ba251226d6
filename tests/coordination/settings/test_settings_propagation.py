"""A change is in force once every node that was ever seen has it."""

from daisyline.coordination.settings.settings_propagation import (
    SettingsPropagation,
)
from daisyline.state.fleet_status import FleetStatus, MemberStatus
from tests.support import function_tests

load_tests = function_tests(__name__)


def _status_of(**versions: int) -> FleetStatus:
    members = tuple(
        MemberStatus(name, settings_version=version)
        for name, version in versions.items()
    )
    return FleetStatus('me', settings_version=5, members=members)


def test_a_node_that_is_no_longer_listed_still_counts() -> None:
    propagation = SettingsPropagation.from_config(5, 3, 0)
    propagation.observe(_status_of(one=5, two=4))
    propagation.observe(_status_of(one=5))
    assert propagation.outdated_nodes == ('two',)
    assert propagation.next_poll_s(1) is not None
    assert propagation.next_poll_s(3) is None
    propagation.observe(_status_of(one=5, two=5))
    assert propagation.is_complete
