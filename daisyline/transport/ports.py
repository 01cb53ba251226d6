"""The two ports of a node that speak HTTP: for callers and for its target."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from daisyline.coordination.call_events import (
    AnswerCaller,
    CallerDisconnected,
    RefuseCaller,
    TargetAnnounced,
    TargetLeaving,
)
from daisyline.coordination.node_core import NodeCore
from daisyline.coordination.registration import Announcement
from daisyline.protocol.front_end import FrontEnd, LeaveNotice, Notice
from daisyline.protocol.http_messages import Request
from daisyline.state.failures import Failure, Reason
from daisyline.transport.callers import CallerConnection
from daisyline.transport.loop import Loop
from daisyline.transport.request_reader import ParentCall, RequestReader
from daisyline.transport.sockets import Connection, Listener

# Each takes as many connections as are accepted in one turn of the loop.
_LAST_ACCEPTS = 16


class Ports:
    """Turns requests into calls, and keeps who waits for which."""

    def __init__(
        self,
        loop: Loop,
        core: NodeCore,
        incarnation: int,
        on_event: Callable[[Any], None],
        front: FrontEnd | None = None,
        origin: str = '',
    ) -> None:
        """Start without listeners.

        Args:
            loop: The loop.
            core: The node's decisions.
            incarnation: Makes ids of calls differ from those of other starts.
            on_event: Takes events.
            front: How callers and the target speak.
            origin: The service beside this node, if it is known at the start.
        """
        self._loop = loop
        self._core = core
        self._on_event = on_event
        self._front = front or FrontEnd()
        dialect = self._front.dialect
        self._request_reader = RequestReader(core, dialect, incarnation, origin)
        self._waiting: dict[str, CallerConnection] = {}
        self._connections: set[CallerConnection] = set()
        self._listeners: list[Listener] = []
        self._leaving = False

    @property
    def busy_connections(self) -> int:
        """Return how many requests are being sent or wait for an answer."""
        return sum(connection.is_busy for connection in self._connections)

    def listen_to_callers(self, host: str, port: int) -> None:
        """Accept callers from outside."""
        self._listen(host, port, self._from_outside)

    def listen_to_target(self, host: str, port: int) -> None:
        """Accept the target beside this node."""
        self._listen(host, port, self._from_target)

    def find_caller(self, call: str, last: bool) -> CallerConnection | None:
        """Return the connection that waits for a call, if it still does."""
        if last:
            return self._waiting.pop(call, None)
        return self._waiting.get(call)

    def stop_accepting(self) -> None:
        """Take no new connection; those open close after their call."""
        self._close_listeners()
        for connection in tuple(self._connections):
            connection.close_gracefully()

    def announce_closing(self) -> None:
        """Tell each caller with its next answer to come back elsewhere."""
        for connection in self._connections:
            connection.answers.closing = True
        self._leaving = True

    def _close_listeners(self) -> None:
        """Take no new connection."""
        for listener in self._listeners:
            # A listener that is closed resets what waits to be accepted.
            for _ in range(_LAST_ACCEPTS):
                listener.handle_ready(readable=True, writable=False)
            listener.close()

    def _listen(self, host: str, port: int, on_request: Any) -> None:
        listener = Listener.open(
            self._loop,
            host,
            port,
            lambda connection: self._accept(connection, on_request),
        )
        self._listeners.append(listener)

    def _accept(self, connection: Connection, on_request: Any) -> None:
        service = self._request_reader.own_service()
        settings = self._core.fleet.settings
        limit = settings.limits_for(service, '').body_limit_bytes
        caller = CallerConnection(
            self._loop,
            connection,
            limit,
            on_request,
            self._event,
            self._front.dialect,
        )
        caller.may_overlap = self._may_overlap
        if self._leaving:
            caller.answers.closing = True
        caller.on_closed = self._connections.discard
        self._connections.add(caller)

    def _may_overlap(self, request: Request) -> bool:
        """Return whether a request may run beside others of its caller."""
        route = self._request_reader.route_of(request)
        return route is not None and route.repeatable

    def _event(self, event: Any) -> None:
        if isinstance(event, CallerDisconnected):
            self._waiting.pop(event.call, None)
        self._on_event(event)

    def _from_outside(self, caller: CallerConnection, request: Request) -> None:
        self._begin(caller, request, ParentCall())

    def _from_target(self, caller: CallerConnection, request: Request) -> None:
        """Take an announcement, or a call that the target makes in turn.

        What a call in turn inherits is looked up by the id of the call being
        served; nothing else in the header is trusted.
        """
        notice = self._front.read_notice(request)
        if notice is not None:
            self._noticed(caller, notice)
            return
        call = self._core.target_side.calls.get(request.parent_call)
        parent = ParentCall()
        if call is not None:
            retried = call.run.retried or call.retry_spent
            parent = ParentCall(request.parent_call, retried, call.deadline)
        self._begin(caller, request, parent)

    def _noticed(self, caller: CallerConnection, notice: Notice) -> None:
        """Take a notice of the target; what it says holds once answered."""
        event = event_of(notice)
        if isinstance(event, Failure):
            caller.send_refusal(RefuseCaller('', event))
            return
        self._on_event(event)
        body = self._front.acknowledge(self._front.lease_s)
        kind = ((b'Content-Type', b'application/json'),)
        caller.send_answer(
            AnswerCaller('', HTTPStatus.OK, kind, body, last=True)
        )

    def _begin(
        self, caller: CallerConnection, request: Request, parent: ParentCall
    ) -> None:
        event = self._request_reader.read(request, parent, self._loop.now())
        caller.call = event.call
        self._waiting[event.call] = caller
        self._on_event(event)


def event_of(notice: Notice) -> TargetAnnounced | TargetLeaving | Failure:
    """Return the event for a notice, or why it can't be taken."""
    if isinstance(notice, Announcement):
        return TargetAnnounced(notice.target, notice.cold_s, notice.sequence)
    if isinstance(notice, LeaveNotice):
        return TargetLeaving(notice.instance, notice.started_ms)
    detail = '; '.join(str(finding) for finding in notice)
    return Failure(Reason.BAD_REQUEST, detail=detail)
