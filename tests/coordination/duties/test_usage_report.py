"""Each window is reported once and in time, whatever fails."""

import random
from collections.abc import Iterator

import attrs

from daisyline.coordination.duties.duty_config import Moment
from daisyline.coordination.duties.duty_events import ReportUsage
from daisyline.coordination.duties.duty_lease import Lease
from daisyline.coordination.duties.duty_record import DutyRecord
from daisyline.coordination.membership.fleet_events import StoreReturned
from daisyline.state.settings import Settings
from tests.coordination.duties.fakes import CONFIG, NEVER
from tests.coordination.duties.rig import START, DutyFleet
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)

NAMES = ('a', 'b', 'c', 'd')
FIRST = CONFIG.window_of(START)
STEP_S = 0.1


@fixture
def duty_fleet() -> Iterator[DutyFleet]:
    """Provide four nodes, one of which has become the holder."""
    fleet = DutyFleet(rng=random.Random(7))
    for name in NAMES:
        fleet.start(name)
    _pass_time(fleet, 12)
    assert len(fleet.holders()) == 1
    yield fleet


def _pass_time(fleet: DutyFleet, seconds: float) -> dict[int, int]:
    """Run calls at all nodes; return the true counts by window."""
    begun: dict[int, int] = {}
    for _ in range(round(seconds / STEP_S)):
        window = CONFIG.window_of(fleet.now)
        for name in NAMES:
            node = fleet.nodes[name]
            if node.is_running and not node.is_suspended:
                begun[window] = begun.get(window, 0) + 1
            fleet.count(name)
        fleet.run(STEP_S)
    return begun


def _last_due(fleet: DutyFleet) -> int:
    """Return the newest window whose report is due."""
    return CONFIG.window_of(fleet.now - CONFIG.late_s) - 1


def _reported(fleet: DutyFleet) -> list[int]:
    return [window - FIRST for window in sorted(fleet.api.reports)]


def _lateness(fleet: DutyFleet) -> float:
    """Return the longest time from a window's end to its first report."""
    first: dict[int, float] = {}
    for at, _holder, _token, window in fleet.api.accepted:
        first.setdefault(window, at - CONFIG.end_of(window))
    return max(first.values())


def test_each_window_is_reported_once_with_all_calls(
    duty_fleet: DutyFleet,
) -> None:
    writes = duty_fleet.store.writes
    reads = duty_fleet.store.reads
    begun = _pass_time(duty_fleet, 60)
    for window in list(begun)[1:-1]:
        assert duty_fleet.api.reports[window]['acme'] == begun[window]
        assert duty_fleet.api.reports[window]['globex'] == 0
    assert duty_fleet.store.writes - writes == 12
    assert duty_fleet.store.reads == reads
    assert len(duty_fleet.api.accepted) == len(duty_fleet.api.reports)


def test_a_killed_holder_is_replaced_before_a_report_is_late(
    duty_fleet: DutyFleet,
) -> None:
    # Guards against windows that are lost with the holder, at each moment.
    for _ in range(4):
        _pass_time(duty_fleet, 20.3)
        for name in duty_fleet.holders():
            duty_fleet.kill(name)
            begun = _pass_time(duty_fleet, 23)
            duty_fleet.start(name)
        for window in list(begun)[1:-3]:
            count = duty_fleet.api.reports[window]['acme']
            assert abs(count - begun[window]) <= 0.05 * begun[window]
    assert _reported(duty_fleet) == list(range(len(duty_fleet.api.reports)))
    assert _lateness(duty_fleet) <= CONFIG.late_s


def test_a_holder_killed_between_write_and_call_changes_no_count(
    duty_fleet: DutyFleet,
) -> None:
    # Guards against a second count of a window that was written.
    duty_fleet.api_delay_s = NEVER
    while duty_fleet.store.content['newest'] == FIRST + 1:
        _pass_time(duty_fleet, STEP_S)
    written = duty_fleet.store.content['reports'][str(FIRST + 2)]
    for name in duty_fleet.holders():
        duty_fleet.kill(name)
    duty_fleet.api_delay_s = 0.02
    _pass_time(duty_fleet, 20)
    assert duty_fleet.api.reports[FIRST + 2] == written


def test_a_lost_reply_of_a_write_or_a_call_changes_no_count(
    duty_fleet: DutyFleet,
) -> None:
    duty_fleet.lost_answers = 0.5
    duty_fleet.lost_replies = 0.3
    _pass_time(duty_fleet, 90)
    assert _last_due(duty_fleet) in duty_fleet.api.reports
    assert _reported(duty_fleet) == list(range(len(duty_fleet.api.reports)))


def test_a_write_that_is_applied_late_changes_no_count(
    duty_fleet: DutyFleet,
) -> None:
    duty_fleet.store_delay_s = 6
    _pass_time(duty_fleet, 60)
    duty_fleet.store_delay_s = 0.02
    _pass_time(duty_fleet, 30)
    assert _reported(duty_fleet) == list(range(len(duty_fleet.api.reports)))


def test_a_holder_suspended_for_longer_than_the_lease_does_not_act(
    duty_fleet: DutyFleet,
) -> None:
    # Guards against calls on a lease that the monotonic clock still shows.
    holder = duty_fleet.holders()[0]
    duty_fleet.suspend(holder)
    _pass_time(duty_fleet, 20)
    assert duty_fleet.holders() != [holder]
    duty_fleet.resume(holder, is_reported=False, ticks_first=True)
    _pass_time(duty_fleet, 20)
    last = max(
        at for at, name, _, _ in duty_fleet.api.accepted if name == holder
    )
    assert last < duty_fleet.now - 35
    assert len(duty_fleet.holders()) == 1


def test_windows_are_reported_after_an_outage_of_the_store(
    duty_fleet: DutyFleet,
) -> None:
    # Guards against nodes that offer other windows than the holder awaits: 70
    # windows are more than are kept.
    for seconds in (30, 350):
        duty_fleet.refused = set(NAMES)
        _pass_time(duty_fleet, seconds)
        duty_fleet.refused = set()
        _pass_time(duty_fleet, 40)
        assert _last_due(duty_fleet) in duty_fleet.api.reports


def test_a_holder_does_not_spin_while_the_store_and_the_api_are_away(
    duty_fleet: DutyFleet,
) -> None:
    # Guards against a renewal that is due all the time but can't be written.
    holder = duty_fleet.nodes[duty_fleet.holders()[0]]
    duty_fleet.lost_answers = 1
    duty_fleet.run(20)
    duty_fleet.refused = set(NAMES)
    duty_fleet.run(20)
    ticks = duty_fleet.ticks[holder.member.name]
    duty_fleet.run(50)
    assert duty_fleet.ticks[holder.member.name] - ticks <= 50 * 5


def test_a_holder_that_the_store_rejects_is_replaced(
    duty_fleet: DutyFleet,
) -> None:
    before = duty_fleet.holders()
    duty_fleet.refused = set(before)
    _pass_time(duty_fleet, 25)
    token = duty_fleet.store.content['token']
    assert duty_fleet.store.content['holder'] not in before
    assert duty_fleet.api.highest == token
    assert _lateness(duty_fleet) <= CONFIG.late_s


def test_a_deleted_object_is_made_anew_with_a_higher_token(
    duty_fleet: DutyFleet,
) -> None:
    token = duty_fleet.store.content['token']
    duty_fleet.store.version = 0
    _pass_time(duty_fleet, 30)
    assert duty_fleet.store.content['token'] > token
    assert _reported(duty_fleet) == list(range(len(duty_fleet.api.reports)))


def test_a_return_of_the_store_ends_the_duty_and_changes_no_count(
    duty_fleet: DutyFleet,
) -> None:
    # Guards against a holder that acts on a lease that the copy doesn't know,
    # and against a token or a window that is used again.
    copy = attrs.evolve(duty_fleet.store)
    _pass_time(duty_fleet, 12)
    token = duty_fleet.store.content['token']
    newest = duty_fleet.store.content['newest']
    assert newest > copy.content['newest']
    before = dict(duty_fleet.api.reports)
    duty_fleet.store = copy
    for node in duty_fleet.nodes.values():
        duty_fleet.deliver(node, StoreReturned(2, 1))
    assert not duty_fleet.holders()
    _pass_time(duty_fleet, 30)
    assert duty_fleet.store.content['token'] > token
    assert _reported(duty_fleet) == list(range(len(duty_fleet.api.reports)))
    assert {
        window: duty_fleet.api.reports[window] for window in before
    } == before


def test_a_token_is_higher_than_those_that_only_a_lost_object_held(
    duty_fleet: DutyFleet,
) -> None:
    token = _restart_on_a_copy(duty_fleet)
    duty_fleet.api_delay_s = NEVER
    _pass_time(duty_fleet, 30)
    assert duty_fleet.store.content['token'] > token


def test_a_window_whose_report_only_a_lost_object_held_keeps_its_count(
    duty_fleet: DutyFleet,
) -> None:
    _restart_on_a_copy(duty_fleet)
    _pass_time(duty_fleet, 30)
    assert _last_due(duty_fleet) in duty_fleet.api.reports


def _restart_on_a_copy(fleet: DutyFleet) -> int:
    """Kill all nodes as the store comes back, after two changes of holder.

    Returns:
        The highest token that was given out.
    """
    copy = attrs.evolve(fleet.store)
    for _ in range(2):
        fleet.kill(fleet.holders()[0])
        _pass_time(fleet, 25)
    token: int = fleet.store.content['token']
    for running in NAMES:
        fleet.kill(running)
    fleet.store = copy
    for name in NAMES:
        fleet.start(name)
    return token


def test_two_candidates_at_the_same_time_do_not_both_hold_the_duty() -> None:
    # Both see no other member, so each is the first candidate.
    fleet = DutyFleet(rng=random.Random(3))
    for name in ('a', 'b'):
        fleet.start(name)
        fleet.cut(name)
    fleet.run(30)
    tokens = {token for _, _, token, _ in fleet.api.accepted}
    assert len(tokens) == 1
    assert len(fleet.holders()) == 1


def test_a_holder_that_lost_sight_of_the_fleet_reports_no_partial_counts(
    duty_fleet: DutyFleet,
) -> None:
    # Guards against counts of one node that pass for those of all nodes.
    holder = duty_fleet.holders()[0]
    _pass_time(duty_fleet, 5)
    cut_at = CONFIG.window_of(duty_fleet.now)
    duty_fleet.cut(holder)
    begun = _pass_time(duty_fleet, 15)
    for window in range(cut_at + 1, _last_due(duty_fleet) + 1):
        count = duty_fleet.api.reports[window]['acme']
        assert count >= 0.7 * begun[window]


def test_nodes_without_customers_or_settings_do_nothing() -> None:
    fleet = DutyFleet(rng=random.Random(1))
    fleet.start('a')
    duties = fleet.nodes['a'].duties
    keyless = Settings.from_tree(2, {'tenants': {'acme': {'weight': 2}}})
    duties.use_settings(keyless, 1)
    assert duties.usage is None and duties.next_at() == NEVER
    assert not duties.gauges() and not duties.tick(1)
    fleet.config = None  # type: ignore[assignment]
    fleet.start('b')
    assert fleet.nodes['b'].duties.usage is None


def test_declined_calls_and_calls_without_a_customer_are_not_counted(
    duty_fleet: DutyFleet,
) -> None:
    node = duty_fleet.nodes['a']
    assert node.duties.usage is not None
    counters = node.duties.usage.counters
    before = {window: dict(one) for window, one in counters._totals.items()}
    now = duty_fleet.clock(node)
    for customer in ('', 'default'):
        node.duties.record_start('x', customer, now)
    node.duties.record_start('y', 'globex', now)
    node.duties.record_declined('y')
    after = counters._totals[CONFIG.window_of(duty_fleet.now)]
    assert after.pop('globex') == 0
    assert after == before.get(CONFIG.window_of(duty_fleet.now), {})


def test_a_lease_ends_by_either_clock() -> None:
    lease = Lease(3, Moment(100, 5000))
    assert lease.is_valid(Moment(102.9, 5002.9))
    assert not lease.is_valid(Moment(103, 5002.9))
    assert not lease.is_valid(Moment(100.1, 5003))
    assert not lease.is_valid(Moment(100.1, 4999))
    assert not Lease(3).is_valid(Moment(0, 0))


def test_a_malformed_object_is_no_record() -> None:
    record = DutyRecord('a', 1, 2, 3, {3: {'acme': 4}})
    content = record.to_content()
    assert DutyRecord.from_content(content) == record
    for name in content:
        assert DutyRecord.from_content({**content, name: None}) is None
    assert DutyRecord.from_content({**content, 'reports': {'x': 1}}) is None
    assert DutyRecord.from_content([]) is None


def test_a_rejected_holder_never_uses_its_token_again(
    duty_fleet: DutyFleet,
) -> None:
    # The API has seen a token that the store does not know.
    token = duty_fleet.store.content['token'] + 5
    counts = duty_fleet.api.reports[FIRST]
    call = ReportUsage('x', 'z', token, FIRST, counts, 0, 0)
    duty_fleet.api.execute(call, duty_fleet.now)
    _pass_time(duty_fleet, 30)
    assert duty_fleet.api.highest > token
    assert _last_due(duty_fleet) in duty_fleet.api.reports


def test_without_fencing_a_new_holder_waits_before_its_first_call() -> None:
    config = attrs.evolve(CONFIG, is_fenced=False)
    fleet = DutyFleet(rng=random.Random(2), config=config)
    fleet.api.is_fenced = False
    fleet.start('a')
    fleet.run(20)
    taken_at = fleet.events[0][1].at
    called_at = fleet.api.accepted[0][0] - START
    assert called_at - taken_at >= config.reserve_s
