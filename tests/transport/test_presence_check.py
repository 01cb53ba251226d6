"""A target is present if it accepts a connection and keeps it open."""

from collections.abc import Iterator

import attrs

from daisyline.coordination.effects import PresenceChecked
from daisyline.state.targets import Target
from daisyline.transport.target_pool import TargetPool
from tests.support import fixture, function_tests
from tests.transport.rig import HOST, LoopDriver

load_tests = function_tests(__name__)

TARGET = Target('docs', 'v1', 'i1', HOST, 0)


@attrs.define
class CheckedPool:
    """A pool whose target is checked."""

    driver: LoopDriver
    pool: TargetPool

    def check(self, port: int) -> bool:
        """Return whether a target is present."""
        self.pool.update_target(attrs.evolve(TARGET, port=port))
        return self.result()

    def result(self) -> bool:
        """Check the target that is set, and return the result."""
        events = self.driver.events
        number = len(events)
        self.pool.presence.check(number)
        self.driver.run_until(lambda: len(events) > number)
        assert events[-1].number == number
        assert self.pool.connection_count == 0
        return bool(events[-1].is_present)


@fixture
def checked_pool(driver: LoopDriver) -> Iterator[CheckedPool]:
    """Provide a pool without a target."""
    yield CheckedPool(driver, TargetPool(driver.loop, driver.events.append))


def test_a_target_that_listens_is_present(
    driver: LoopDriver, checked_pool: CheckedPool
) -> None:
    assert checked_pool.check(driver.listen().getsockname()[1])


def test_a_target_that_is_gone_is_not_present(
    driver: LoopDriver, checked_pool: CheckedPool
) -> None:
    assert not checked_pool.result()
    assert not checked_pool.check(driver.closed_port())
    assert not checked_pool.check(driver.unconnectable_port())


def test_a_connection_that_is_closed_at_once_shows_no_target(
    driver: LoopDriver, checked_pool: CheckedPool
) -> None:
    # Guards against a relay that accepts connections to a target that is gone.
    listener = driver.listen()
    accept = listener.accept

    def close_connections() -> bool:
        try:
            accepted, _address = accept()
        except BlockingIOError:
            return False
        accepted.close()
        return True

    pool = checked_pool.pool
    port = listener.getsockname()[1]
    pool.update_target(attrs.evolve(TARGET, port=port))
    pool.presence.check(7)
    driver.run_until(close_connections)
    driver.run_until(lambda: driver.events)
    assert driver.events == [PresenceChecked(7, is_present=False)]


def test_a_check_takes_no_connection_beyond_the_limit(
    driver: LoopDriver, checked_pool: CheckedPool
) -> None:
    listener = driver.listen()
    checked_pool.pool.connection_limit = int
    assert checked_pool.check(listener.getsockname()[1])
    listener.settimeout(0)
    try:
        listener.accept()
    except BlockingIOError:
        return
    raise AssertionError('a connection was made')
