"""Departures outlast all nodes in the store, whatever its faults."""

import random
from collections.abc import Iterator
from typing import Any

import attrs

from daisyline.coordination import node_handlers
from daisyline.coordination.calls import call_events as ev
from daisyline.coordination.departures.departure_record import (
    ACKNOWLEDGEMENT_WAIT_S,
    DepartureRecord,
)
from daisyline.coordination.departures.start_hold import HOLD_S, JOIN_S
from daisyline.coordination.effects import (
    PlatformRead,
    PlatformReply,
    PlatformWrite,
)
from daisyline.coordination.node_core import NodeCore
from daisyline.coordination.settings.platform_reading import PlatformReadConfig
from daisyline.state.departures import DEPARTURE_TTL_MS
from daisyline.state.members import Member
from daisyline.state.targets import Phase, Target
from tests.coordination.pump import FakePlatform
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)

OBJECT = ('departures', 'n1')
STEP_S = 0.05
TARGET = Target('docs', 'v1', 'i-1', '127.0.0.1', 9000, Phase.READY, 5, 9)
LEAVING = ev.TargetLeaving(*TARGET.incarnation)


@attrs.define
class StoredNode:
    """A node that is alone, so that only the store outlasts its process.

    Attributes:
        platform: The store.
        core: The decisions of the node's process.
        now: The time in monotonic seconds.
        delay_s: How long each answer of the store takes, in seconds.
        loses_answers: Whether calls take effect but are not answered.
        rejects_writes: Whether writes are answered with a conflict.
        calls: The reads and writes of the node's object.
        era: The era that answers of the store state.
    """

    platform: FakePlatform
    core: Any = None
    now: float = 100
    delay_s: float = 0
    loses_answers: bool = False
    rejects_writes: bool = False
    calls: list[Any] = attrs.field(factory=list)
    era: int = 1
    _replies: list[tuple[float, PlatformReply]] = attrs.field(factory=list)

    def restart(
        self, started_ms: int = 9, *, keeps_departures: bool = True
    ) -> None:
        """Kill the process and start another one."""
        me = Member('n1', '127.0.0.1', 7401, 'z', 'r', started_ms * 1000)
        config = PlatformReadConfig(keeps_departures=keeps_departures)
        rng = random.Random(1)
        self.core = NodeCore.from_config(me, 'test', (), rng, self.now, config)
        self.calls.clear()
        self._replies.clear()

    def announce(self, target: Target = TARGET, sequence: int = 1) -> None:
        """Let a target announce itself."""
        self.handle(ev.TargetAnnounced(target, sequence=sequence))

    def handle(self, event: Any) -> None:
        """Handle an event and start the calls on the store."""
        self._carry_out(node_handlers.handle(event, self.core, self.now))

    def wait(self, seconds: float) -> None:
        """Run the timers and deliver the answers of the store for a time."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_S
            due = [reply for at, reply in self._replies if at <= self.now]
            self._replies = [
                pending for pending in self._replies if pending[0] > self.now
            ]
            for reply in due:
                self.handle(reply)
            self._carry_out(node_handlers.tick(self.core, self.now))

    def return_store(self) -> None:
        """Let the store come back as it was before any write."""
        self.platform.stored.clear()
        self.platform.revision = 0
        self.era += 1
        # Another call of the node tells it of the era.
        self.handle(PlatformReply('other', 404, era=self.era))

    @property
    def phase(self) -> Phase | None:
        """Return the phase of the target in use; None without one."""
        target = self.core.target_side.target
        return None if target is None else target.phase

    @property
    def stored(self) -> list[str]:
        """Return the instances that the store lists."""
        content = self.platform.stored.get(OBJECT, (0, {}))[1]
        return [entry['instance'] for entry in content.get('departures', ())]

    @property
    def record(self) -> DepartureRecord:
        """Return the record of departures."""
        record: DepartureRecord = self.core.fleet.departures
        return record

    def _carry_out(self, effects: list[Any]) -> None:
        for effect in effects:
            if isinstance(effect, (PlatformRead, PlatformWrite)):
                if effect.kind == OBJECT[0]:
                    self.calls.append(effect)
                    self._answer(effect)

    def _answer(self, effect: Any) -> None:
        reply = PlatformReply(effect.token, 503)
        if self.platform.up and isinstance(effect, PlatformWrite):
            status, version = 409, 0
            if not self.rejects_writes:
                status, version = self.platform.write(effect)
            reply = PlatformReply(effect.token, status, version)
        elif self.platform.up:
            version, content = self.platform.stored.get(OBJECT, (0, None))
            status = 200 if version else 404
            reply = PlatformReply(effect.token, status, version, content)
        reply = attrs.evolve(reply, era=self.era)
        if not self.loses_answers:
            self._replies.append((self.now + self.delay_s, reply))


@fixture
def stored_node() -> Iterator[StoredNode]:
    """Give a node whose target was started after it, and is in use."""
    node = StoredNode(FakePlatform(random.Random(1)))
    node.restart(1)
    node.announce()
    assert (node.phase, node.calls) == (Phase.READY, [])
    yield node


def test_a_target_that_left_stays_out_after_a_restart_of_all_nodes(
    stored_node: StoredNode,
) -> None:
    # Guards against a late announcement that brings a target back once no
    # process is left that knew of its departure.
    stored_node.handle(LEAVING)
    stored_node.wait(1)
    assert len(stored_node.calls) == 1
    stored_node.restart()
    stored_node.announce(sequence=2)
    assert stored_node.phase is None
    stored_node.wait(HOLD_S)
    stored_node.announce(sequence=3)
    assert stored_node.phase == Phase.LEAVING
    assert [type(call) for call in stored_node.calls] == [PlatformRead]


def test_a_departure_that_an_older_copy_lacks_is_written_again(
    stored_node: StoredNode,
) -> None:
    # Guards against a target that is used again after a return of the store
    # and a restart of all nodes.
    stored_node.handle(LEAVING)
    stored_node.wait(1)
    assert stored_node.stored == [TARGET.instance]
    stored_node.return_store()
    assert not stored_node.stored
    stored_node.wait(2)
    assert stored_node.stored == [TARGET.instance]
    stored_node.restart()
    stored_node.announce(sequence=2)
    stored_node.wait(HOLD_S)
    stored_node.announce(sequence=3)
    assert stored_node.phase == Phase.LEAVING


def test_a_departure_confirmed_by_the_older_era_is_written_again(
    stored_node: StoredNode,
) -> None:
    stored_node.delay_s = 0.2
    stored_node.handle(LEAVING)
    stored_node.return_store()
    assert not stored_node.stored
    stored_node.wait(2)
    assert stored_node.stored == [TARGET.instance]


def test_a_node_without_departures_makes_no_call_after_a_return(
    stored_node: StoredNode,
) -> None:
    stored_node.handle(PlatformReply('other', 404, era=1))
    stored_node.return_store()
    stored_node.wait(5)
    assert not stored_node.calls


def test_a_leave_without_a_start_holds_for_earlier_starts_only(
    stored_node: StoredNode,
) -> None:
    stored_node.restart(7)
    stored_node.handle(ev.TargetLeaving(TARGET.instance))
    stored_node.announce(sequence=2)
    stored_node.wait(1)
    assert stored_node.platform.revision == 1
    for started_ms, phase in ((5, Phase.LEAVING), (2000, Phase.READY)):
        stored_node.restart(9000)
        stored_node.announce(attrs.evolve(TARGET, started_ms=started_ms))
        stored_node.wait(1)
        assert stored_node.phase == phase


def test_a_departure_is_written_once_the_store_is_back(
    stored_node: StoredNode,
) -> None:
    stored_node.platform.up = False
    stored_node.handle(LEAVING)
    stored_node.wait(20)
    stored_node.platform.up = True
    stored_node.wait(15)
    assert stored_node.stored == ['i-1']
    assert stored_node.platform.revision == 1


def test_a_write_whose_answer_was_lost_is_not_made_twice(
    stored_node: StoredNode,
) -> None:
    stored_node.loses_answers = True
    stored_node.handle(LEAVING)
    stored_node.loses_answers = False
    assert stored_node.record.acknowledgement_wait_s(stored_node.now) > 0
    stored_node.wait(10)
    assert stored_node.platform.revision == 1
    assert isinstance(stored_node.calls[-1], PlatformRead)


def test_an_acknowledgement_waits_for_the_store_for_a_bounded_time(
    stored_node: StoredNode,
) -> None:
    # Guards against targets that count their leave as not acknowledged.
    stored_node.delay_s = 2
    stored_node.handle(LEAVING)
    wait_s = stored_node.record.acknowledgement_wait_s
    assert wait_s(stored_node.now) == ACKNOWLEDGEMENT_WAIT_S
    assert not wait_s(stored_node.now + ACKNOWLEDGEMENT_WAIT_S)
    stored_node.wait(2.1)
    assert not wait_s(stored_node.now - 2)


def test_a_target_is_used_after_a_bound_if_the_store_does_not_answer(
    stored_node: StoredNode,
) -> None:
    stored_node.handle(LEAVING)
    stored_node.wait(1)
    stored_node.restart()
    stored_node.delay_s = HOLD_S + 1
    for sequence in range(2, 6):
        stored_node.announce(sequence=sequence)
        assert stored_node.phase is None
        stored_node.wait(HOLD_S / 4)
    stored_node.wait(STEP_S)
    assert stored_node.phase == Phase.READY
    # The answer is late, but it counts.
    stored_node.wait(2)
    assert stored_node.phase == Phase.LEAVING


def test_a_target_that_stays_is_used_soon_after_the_answer(
    stored_node: StoredNode,
) -> None:
    stored_node.restart()
    stored_node.announce(sequence=2)
    stored_node.wait(JOIN_S + 2 * STEP_S)
    assert stored_node.phase == Phase.READY
    assert len(stored_node.calls) == 1


def test_a_later_start_is_used_at_once_and_old_departures_are_dropped(
    stored_node: StoredNode,
) -> None:
    stored_node.handle(LEAVING)
    stored_node.wait(DEPARTURE_TTL_MS / 1000 + 1)
    again = attrs.evolve(TARGET, instance='i-2', started_ms=7000)
    stored_node.announce(again)
    assert stored_node.phase == Phase.READY
    stored_node.handle(ev.TargetLeaving(*again.incarnation))
    stored_node.wait(1)
    assert stored_node.stored == ['i-2']
    assert len(stored_node.calls) == 2


def test_a_store_that_rejects_writes_is_not_called_in_a_loop(
    stored_node: StoredNode,
) -> None:
    # Guards against a call for each answer, without a pause.
    stored_node.rejects_writes = True
    stored_node.handle(LEAVING)
    stored_node.wait(20)
    assert len(stored_node.calls) < 30
    stored_node.rejects_writes = False
    stored_node.wait(15)
    assert stored_node.stored == ['i-1']


def test_an_object_that_was_deleted_is_made_again(
    stored_node: StoredNode,
) -> None:
    stored_node.handle(LEAVING)
    stored_node.wait(1)
    stored_node.platform.put(*OBJECT, None)
    stored_node.handle(ev.TargetLeaving('i-2', 7))
    stored_node.wait(1)
    assert stored_node.stored == ['i-1', 'i-2']


def test_malformed_entries_of_an_object_are_skipped(
    stored_node: StoredNode,
) -> None:
    good = {'instance': 'i-1', 'started_ms': 5, 'left_ms': 6}
    entries = [7, {}, {**good, 'started_ms': '5'}, {**good, 'left_ms': True}]
    for content, phase in (
        ([], Phase.READY),
        ({'departures': 5}, Phase.READY),
        ({'departures': entries}, Phase.READY),
        ({'departures': [*entries, good]}, Phase.LEAVING),
    ):
        stored_node.platform.put(*OBJECT, content)
        stored_node.restart()
        stored_node.announce()
        stored_node.wait(1)
        assert stored_node.phase == phase


def test_nothing_is_read_or_written_unless_departures_are_kept(
    stored_node: StoredNode,
) -> None:
    stored_node.restart(keeps_departures=False)
    stored_node.announce(sequence=2)
    stored_node.handle(LEAVING)
    stored_node.wait(1)
    assert not stored_node.calls
    assert not stored_node.record.acknowledgement_wait_s(stored_node.now)
