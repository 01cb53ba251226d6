"""Connections that use their descriptor least give way to new ones."""

import attrs

from daisyline.coordination.memory.connection_bound import (
    CALLERS_SHARE,
    TARGET_SHARE,
    choose_closed,
    connection_bound,
)
from tests.support import function_tests

load_tests = function_tests(__name__)


@attrs.frozen
class Client:
    """A connection with what the decision looks at."""

    active_at: float
    is_busy: bool = False
    has_calls: bool = False


def test_clients_leave_descriptors_for_other_nodes_and_files() -> None:
    bounds = [connection_bound(4100, CALLERS_SHARE)]
    bounds.append(connection_bound(4100, TARGET_SHARE))
    assert sum(bounds) < 4100 - 200
    assert connection_bound(100, TARGET_SHARE) > 0
    assert connection_bound(-1, TARGET_SHARE) > 4100


def test_the_oldest_unfinished_request_gives_way_before_idle_ones() -> None:
    idle, older = Client(1), Client(2, is_busy=True)
    newer = Client(3, is_busy=True)
    assert choose_closed([newer, idle, older]) is older
    assert choose_closed([idle, Client(2)]) is idle


def test_requests_in_progress_do_not_give_way() -> None:
    assert choose_closed([Client(1, is_busy=True, has_calls=True)]) is None
