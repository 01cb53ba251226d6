"""The platform's store comes back from an older copy, as processes."""

import contextlib
import itertools
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import attrs

from tests.fixtures import wait_until
from tests.journeys.users_rig import UsersFleet, UsersPlace
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)

CONFIG_LIMIT_S = 2.0
EVACUATION_LIMIT_S = 5.0
ROLLBACK_LIMIT_S = 5.0
ROLLOUT_S = 16
# The largest part of the requests that a bad version may get, and the number
# that is allowed beyond it.
EXPOSED_SHARE = 0.1
EXPOSED_SLACK = 10
REWRITE_S = 0.3
CHANGE_COUNT = 40
CHANGES_TAKE_S = 2.0


@attrs.define
class Client:
    """Sends requests at all nodes in turn until it is stopped.

    Attributes:
        statuses: The time and the status of each answer.
    """

    fleet: UsersFleet
    path: str
    statuses: list[tuple[float, int]] = attrs.field(factory=list)
    is_stopped: bool = False

    def run(self) -> None:
        """Send requests, each after the answer of the one before."""
        for number in itertools.count():
            if self.is_stopped:
                return
            places = self.fleet.places
            self._send(places[number % len(places)], number)

    def _send(self, place: UsersPlace, number: int) -> None:
        sent_at = time.monotonic()
        # A node that a test has killed does not answer.
        with contextlib.suppress(OSError):
            answer = place.send_request(self.path, f'c{number}')
            self.statuses.append((sent_at, answer.status))
        time.sleep(0.01)


@contextlib.contextmanager
def _sending(fleet: UsersFleet, path: str) -> Iterator[Client]:
    client = Client(fleet, path)
    thread = threading.Thread(target=client.run)
    thread.start()
    try:
        yield client
    finally:
        client.is_stopped = True
        thread.join()


@attrs.define
class Operator:
    """Writes what operators write, and knows when the store had a state."""

    fleet: UsersFleet
    _edition: int = 7

    def add_route(self, name: str) -> float:
        """Add a route to the manifest; return when it was acknowledged."""
        self._edition += 1
        stored = self.fleet.call_platform('GET', 'config/main')['spec']
        route = {**stored['routes'][0], 'name': name, 'pathPrefix': f'/{name}/'}
        routes = [*stored['routes'], route]
        edition = f'r{self._edition}'
        return self.fleet.change_manifest(routes=routes, version=edition)

    def add_routes(self) -> None:
        """Raise the store's revision by a few changes."""
        for number in range(5):
            self.add_route(f'x{number}')

    def order_version(self, version: str, verb: str = 'POST') -> None:
        """Order a rollout of the service."""
        spec = {
            'service': 'shop',
            'targetVersion': version,
            'durationS': ROLLOUT_S,
        }
        path = 'rollouts' if verb == 'POST' else 'rollouts/shop'
        body = {'metadata': {'name': 'shop'}, 'spec': spec}
        self.fleet.call_platform(verb, path, body)

    def rollout_state(self) -> str:
        """Return the state of the ordered rollout; empty if it has none."""
        stored = self.fleet.call_platform('GET', 'rollouts/shop')
        status = stored.get('status') or {}
        return str(status.get('state', ''))

    def take_out(self, zone: str) -> None:
        """Order that the targets of a zone get no calls."""
        body = {'metadata': {'name': zone}, 'spec': {}}
        self.fleet.call_platform('POST', 'evacuations', body)

    def take_back(self, zone: str) -> None:
        """Withdraw that order."""
        self.fleet.call_platform('DELETE', f'evacuations/{zone}')


@fixture
def operator(users_fleet: UsersFleet) -> Iterator[Operator]:
    """Provide the operator of the fleet; the store has been idle before."""
    time.sleep(2.0)
    yield Operator(users_fleet)


def test_a_route_added_after_the_return_is_in_force_in_time(
    users_fleet: UsersFleet, operator: Operator
) -> None:
    # Guards against settings of a lower revision that are taken for older.
    began_at = time.monotonic()
    for number in range(CHANGE_COUNT):
        operator.add_route(f'x{number}')
        time.sleep(CHANGES_TAKE_S / CHANGE_COUNT)
    last_number = CHANGE_COUNT - 1
    last_path = f'/x{last_number}/1'
    for place in users_fleet.places:
        _wait_until_served(place, last_path)
    with _sending(users_fleet, last_path) as client:
        users_fleet.return_store(
            age_s=time.monotonic() - began_at + 1.0, rewrite_s=REWRITE_S
        )
        time.sleep(1.0)
        acknowledged = operator.add_route('late')
        for place in users_fleet.places:
            _wait_until_served(place, '/late/1')
        assert time.monotonic() - acknowledged < CONFIG_LIMIT_S
    # What was in force did not give way to the copy.
    assert {status for _at, status in client.statuses} <= {200, 503}


def test_a_bad_version_ordered_after_the_return_is_rolled_back(
    users_fleet: UsersFleet, operator: Operator
) -> None:
    # Guards against an order of a lower revision that is not taken, so that
    # its version gets calls without a limit.
    began_at = time.monotonic()
    operator.add_routes()
    first = _add_version(users_fleet, 'v2', status=500)
    with _sending(users_fleet, '/pages/1'):
        operator.order_version('v2')
        wait_until(lambda: operator.rollout_state() == 'rolled_back')
    _remove(users_fleet, first)
    users_fleet.return_store(age_s=time.monotonic() - began_at + 1.0)
    second = _add_version(users_fleet, 'v3', fail_every=2)
    counts_before = _run_counts(users_fleet)
    with _sending(users_fleet, '/pages/1'):
        operator.order_version('v3')
        time.sleep(ROLLOUT_S)
        state = operator.rollout_state()
    ran = second.control_target()['ran']
    bad_at = [run['at'] for run in ran if run['status'] == 500]
    assert bad_at, 'no bad answer was given'
    limit_at = bad_at[49] + ROLLBACK_LIMIT_S if len(bad_at) > 49 else None
    assert limit_at is None or all(run['at'] < limit_at for run in ran)
    total = sum(_run_counts(users_fleet)) - sum(counts_before)
    assert len(ran) <= EXPOSED_SHARE * total + EXPOSED_SLACK
    assert state == 'rolled_back'


def test_a_verdict_that_the_copy_lacks_is_written_again(
    users_fleet: UsersFleet, operator: Operator
) -> None:
    began_at = time.monotonic()
    operator.add_routes()
    bad = _add_version(users_fleet, 'v2', status=500)
    with _sending(users_fleet, '/pages/1'):
        operator.order_version('v2')
        wait_until(lambda: operator.rollout_state() == 'rolled_back')
        # Both judges have compared their verdicts with the store.
        time.sleep(3.0)
        age_s = time.monotonic() - began_at + 1.0
        users_fleet.return_store(age_s=age_s, rewrite_s=REWRITE_S)
        returned_at = time.monotonic()
        before = len(bad.control_target()['ran'])
        wait_until(lambda: operator.rollout_state() == 'rolled_back', 5.0)
        time.sleep(max(0, returned_at + 3.0 - time.monotonic()))
    assert len(bad.control_target()['ran']) == before


def test_a_zone_taken_out_after_the_return_gets_no_calls(
    users_fleet: UsersFleet, operator: Operator
) -> None:
    began_at = time.monotonic()
    operator.add_routes()
    operator.take_out('ghent-a')
    time.sleep(1.0)
    operator.take_back('ghent-a')
    wait_until(lambda: _is_called(users_fleet.places[0]))
    users_fleet.return_store(age_s=time.monotonic() - began_at + 1.0)
    operator.take_out('ghent-a')
    time.sleep(EVACUATION_LIMIT_S)
    assert not _is_called(users_fleet.places[0])


def test_a_zone_written_again_and_taken_back_gets_calls(
    users_fleet: UsersFleet, operator: Operator
) -> None:
    began_at = time.monotonic()
    operator.add_routes()
    operator.take_out('ghent-a')
    wait_until(lambda: not _is_called(users_fleet.places[0]))
    age_s = time.monotonic() - began_at + 1.0
    users_fleet.return_store(age_s=age_s, rewrite_s=REWRITE_S)
    time.sleep(2.0)
    # Nothing in the copy says that the zone is out.
    assert not _is_called(users_fleet.places[0])
    operator.take_back('ghent-a')
    wait_until(lambda: _is_called(users_fleet.places[0]))


def _add_version(
    fleet: UsersFleet, version: str, **behaviour: Any
) -> UsersPlace:
    """Add a target of a version, which the nodes know when this returns."""
    place = fleet.add('ghent-a', version)
    wait_until(place.is_listening)
    wait_until(_answers(place))
    place.control_target(**behaviour)
    wait_until(lambda: place.control_target()['acknowledged'])
    return place


def _answers(place: UsersPlace) -> Callable[[], bool]:
    def answers() -> bool:
        with contextlib.suppress(OSError):
            return 'ran' in place.control_target()
        return False

    return answers


def _remove(fleet: UsersFleet, place: UsersPlace) -> None:
    """End a target and its node without notice."""
    fleet.places.remove(place)
    place.target.kill()
    place.node.kill()


def _run_counts(fleet: UsersFleet) -> list[int]:
    return [len(place.control_target()['ran']) for place in fleet.places]


def _is_called(place: UsersPlace) -> bool:
    """Return whether requests at its node reach a place's target."""
    before = len(place.control_target()['ran'])
    for _ in range(10):
        place.send_request('/pages/1', 'probe')
    return len(place.control_target()['ran']) > before


def _wait_until_served(place: UsersPlace, path: str) -> None:
    wait_until(lambda: place.send_request(path, 'x', 'POST').status == 200)
