"""The HTTP ports of a node: one for callers and one for its target."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from daisyline.coordination.calls.call_events import (
    AnswerCaller,
    RefuseCaller,
    TargetAnnounced,
    TargetLeaving,
)
from daisyline.coordination.calls.caller_events import (
    CallerDisconnected,
)
from daisyline.coordination.calls.registration import Announcement
from daisyline.coordination.memory.connection_bound import (
    CALLERS_SHARE,
    TARGET_SHARE,
)
from daisyline.coordination.node_core import NodeCore
from daisyline.protocol.front_end import FrontEnd, LeaveNotice, Notice
from daisyline.protocol.http_messages import Request
from daisyline.state.failures import Failure, Reason
from daisyline.state.targets import Phase
from daisyline.transport.acknowledgements import Acknowledgements
from daisyline.transport.callers import CallerConnection
from daisyline.transport.connection_room import (
    RECEIVE_BUFFER_BYTES,
    make_room,
)
from daisyline.transport.listener import Listener
from daisyline.transport.loop import Loop
from daisyline.transport.memory_guard import MemoryGuard
from daisyline.transport.request_reader import ParentCall, RequestReader
from daisyline.transport.sockets import Connection

# How often a closing listener accepts connections, to empty its backlog. Each
# time it accepts a bounded number.
_FINAL_ACCEPT_ROUNDS = 16


class Ports:
    """Turns requests into calls and maps each call to its connection.

    Attributes:
        acknowledgements: The answers to departures that wait for the store.
    """

    def __init__(
        self,
        loop: Loop,
        core: NodeCore,
        incarnation: int,
        on_event: Callable[[Any], None],
        front_end: FrontEnd | None = None,
        origin: str = '',
    ) -> None:
        """Start without listeners.

        Args:
            loop: The loop.
            core: The core of the node, which makes its decisions.
            incarnation: Start id of the node; it makes call ids differ from
                those of earlier starts.
            on_event: Called with each event for the core.
            front_end: The protocols of callers and of the target.
            origin: The service of the target beside this node; empty if it is
                not known at the start.
        """
        self._loop = loop
        self._core = core
        self._on_event = on_event
        self._front_end = front_end or FrontEnd()
        dialect = self._front_end.dialect
        self._request_reader = RequestReader(core, dialect, incarnation, origin)
        self._waiting: dict[str, CallerConnection] = {}
        self._connections: set[CallerConnection] = set()
        self._listeners: list[Listener] = []
        self._leaving = False
        self.acknowledgements = Acknowledgements(loop)
        self._memory = MemoryGuard.from_core(core)

    @property
    def busy_connections(self) -> int:
        """Return the number of connections with a request in progress."""
        return sum(connection.is_busy for connection in self._connections)

    def listen_to_callers(self, host: str, port: int) -> None:
        """Accept connections of callers.

        Raises:
            OSError: If the port can't be bound.
        """
        self._listen(host, port, self._handle_external_request, CALLERS_SHARE)

    def listen_to_target(self, host: str, port: int) -> None:
        """Accept connections of the target beside this node.

        Raises:
            OSError: If the port can't be bound.
        """
        self._listen(host, port, self._handle_target_request, TARGET_SHARE)

    def find_caller(self, call: str, last: bool) -> CallerConnection | None:
        """Return the connection that waits for a call, or None if it closed.

        Args:
            call: The id of the call.
            last: Whether the answer ends; the entry is then removed.
        """
        if last:
            return self._waiting.pop(call, None)
        return self._waiting.get(call)

    def stop_accepting(self) -> None:
        """Stop accepting; each open connection closes after its calls."""
        self._close_listeners()
        for connection in tuple(self._connections):
            connection.close_gracefully()

    def close(self) -> None:
        """Close all connections, and end the requests in progress.

        No further request is received.
        """
        for connection in tuple(self._connections):
            if connection.is_busy:
                connection.end_answers()
            else:
                connection.drop()

    def announce_closing(self) -> None:
        """Mark the next answer on each connection as its last."""
        for connection in self._connections:
            connection.answers.closing = True
        self._leaving = True

    def _close_listeners(self) -> None:
        """Accept the connections in the backlog, then close the listeners."""
        for listener in self._listeners:
            # The kernel resets connections in the backlog of a closed listener.
            for _ in range(_FINAL_ACCEPT_ROUNDS):
                listener.handle_ready(readable=True, writable=False)
            listener.close()

    def _listen(
        self, host: str, port: int, on_request: Any, share: float
    ) -> None:
        """Listen for clients that may take a share of the descriptors."""
        opened: set[CallerConnection] = set()

        def accept(connection: Connection) -> None:
            if make_room(opened, share):
                self._accept(connection, on_request, opened)
            else:
                connection.abort()

        self._listeners.append(
            Listener.open(self._loop, host, port, accept, RECEIVE_BUFFER_BYTES)
        )

    def _accept(
        self,
        connection: Connection,
        on_request: Any,
        opened: set[CallerConnection],
    ) -> None:
        service = self._request_reader.own_service()
        settings = self._core.fleet.settings
        limit = settings.limits_for(service, '').body_limit_bytes
        caller = CallerConnection(
            self._loop,
            connection,
            limit,
            on_request,
            self._handle_event,
            self._front_end.dialect,
        )
        caller.use_memory(self._memory)
        caller.may_overlap = self._may_overlap
        if self._leaving:
            caller.answers.closing = True

        def forget(closed: CallerConnection) -> None:
            opened.discard(closed)
            self._connections.discard(closed)

        caller.on_closed = forget
        opened.add(caller)
        self._connections.add(caller)

    def _may_overlap(self, request: Request) -> bool:
        """Return whether a request may overlap others of its connection."""
        route = self._request_reader.route_of(request)
        return route is not None and route.repeatable

    def _handle_event(self, event: Any) -> None:
        if isinstance(event, CallerDisconnected):
            self._waiting.pop(event.call, None)
        self._on_event(event)

    def _handle_external_request(
        self, caller: CallerConnection, request: Request
    ) -> None:
        self._start_call(caller, request, ParentCall())

    def _handle_target_request(
        self, caller: CallerConnection, request: Request
    ) -> None:
        """Handle a notice of the target, or a call that the target makes.

        The id of the call that the target is serving selects the inherited
        deadline and retry state; no other part of that header is trusted.
        """
        notice = self._front_end.read_notice(request)
        if notice is not None:
            self._handle_notice(caller, notice)
            return
        call = self._core.target_side.calls.get(request.parent_call)
        parent = ParentCall()
        if call is not None:
            retried = call.run.retried or call.retry_spent
            parent = ParentCall(request.parent_call, retried, call.deadline)
        self._start_call(caller, request, parent)

    def _handle_notice(self, caller: CallerConnection, notice: Notice) -> None:
        """Apply a notice of the target, then acknowledge or refuse it.

        What other nodes are told of the notice is written before the answer.
        The answer to a departure waits for the store, for a bounded time.
        """
        event = event_from_notice(notice)
        if isinstance(event, Failure):
            caller.send_refusal(RefuseCaller('', event))
            return
        self._on_event(event)
        body = self._front_end.acknowledge(self._front_end.lease_s)
        headers = ((b'Content-Type', b'application/json'),)
        answer = AnswerCaller('', HTTPStatus.OK, headers, body, last=True)
        self.acknowledgements.send_within(
            lambda: caller.send_answer(answer),
            self._acknowledgement_wait_s(event),
        )

    def _acknowledgement_wait_s(
        self, event: TargetAnnounced | TargetLeaving
    ) -> float:
        if not _is_departure(event):
            return 0
        departures = self._core.fleet.departures
        return departures.acknowledgement_wait_s(self._loop.now())

    def _start_call(
        self, caller: CallerConnection, request: Request, parent: ParentCall
    ) -> None:
        event = self._request_reader.read(request, parent, self._loop.now())
        caller.call = event.call
        self._waiting[event.call] = caller
        self._on_event(event)


def _is_departure(event: TargetAnnounced | TargetLeaving) -> bool:
    if isinstance(event, TargetLeaving):
        return True
    return event.target is not None and event.target.phase == Phase.LEAVING


def event_from_notice(
    notice: Notice,
) -> TargetAnnounced | TargetLeaving | Failure:
    """Return the event for a notice, or a failure if it is not valid."""
    if isinstance(notice, Announcement):
        return TargetAnnounced(notice.target, notice.cold_s, notice.sequence)
    if isinstance(notice, LeaveNotice):
        return TargetLeaving(notice.instance, notice.started_ms)
    detail = '; '.join(str(finding) for finding in notice)
    return Failure(Reason.BAD_REQUEST, detail=detail)
