"""Callers of a soak run that send requests without waiting for answers."""

import functools
import itertools
import random
from collections import deque
from collections.abc import Callable

import attrs
import h11

from daisyline.transport.deadlines import Deadline
from daisyline.transport.loop import Loop
from daisyline.transport.sockets import Connection
from standins.http import HttpEndpoint, LostCall, Message, encode
from standins.processes import HOST
from standins.soak_caller import CALL_TIMEOUT_S, MS_PER_S
from standins.soak_calls import classify, pipelined_requests
from standins.soak_records import Attempt

GAP_MS = 500
MAX_REQUESTS = 7


class PipelineClient(HttpEndpoint):
    """A connection that has all its requests sent before the first answer."""

    def __init__(
        self,
        connection: Connection,
        requests: list[Message],
        on_end: Callable[[Message, Message | LostCall], None],
    ) -> None:
        """Send the requests.

        Args:
            connection: The connection, which is being opened.
            requests: The requests.
            on_end: Called with each request and its answer or loss.
        """
        super().__init__(connection, h11.Connection(h11.CLIENT))
        self._on_end = on_end
        self._awaited = deque(requests)
        for request in requests:
            encoder = h11.Connection(h11.CLIENT)
            connection.write(encode(encoder, _events_of(request)))
        self._begin_cycle()

    def handle_message(self, message: Message) -> None:
        """Report the answer to the next request, and await another one."""
        request = self._awaited.popleft()
        states = (self.codec.our_state, self.codec.their_state)
        self._on_end(request, message)
        if self._awaited and states == (h11.DONE, h11.DONE):
            self.codec.start_next_cycle()
            self._begin_cycle()
        else:
            self.connection.abort()

    def handle_closed(self) -> None:
        """Report the loss of all requests without an answer."""
        sent = not self.connection.is_connecting
        has_begun = self.is_receiving
        while self._awaited:
            lost = LostCall(sent=sent, answer_begun=has_begun)
            self._on_end(self._awaited.popleft(), lost)
            has_begun = False

    def _begin_cycle(self) -> None:
        # The bytes of the request were sent before.
        encode(self.codec, _events_of(self._awaited[0]))


class PipelineCaller:
    """Sends pipelines through all nodes in turn.

    Attributes:
        pending: Requests that have not ended.
        breaks_answers: Whether one answer of each pipeline breaks off.
    """

    def __init__(
        self,
        loop: Loop,
        ports: dict[str, int],
        on_attempt: Callable[[Attempt], None],
    ) -> None:
        """Create a caller that sends nothing yet.

        Args:
            loop: The loop of the run.
            ports: The port for callers of each place.
            on_attempt: Called with each attempt when it ends.
        """
        self.pending = 0
        self.breaks_answers = True
        self._loop = loop
        self._on_attempt = on_attempt
        self._entries = itertools.cycle(ports.items())
        self._random = random.Random('pipelines')
        self._numbers = itertools.count(1)
        self._is_running = False

    def start(self) -> None:
        """Send pipelines until `stop`."""
        self._is_running = True
        self._schedule_next()

    def stop(self) -> None:
        """Send no new pipelines; open ones continue."""
        self._is_running = False

    def close_idle(self) -> None:
        """Do nothing, as each pipeline has a connection of its own."""

    def _schedule_next(self) -> None:
        gap_s = self._random.expovariate(1) * GAP_MS / MS_PER_S
        self._loop.call_later(gap_s, self._send_next)

    def _send_next(self) -> None:
        if self._is_running:
            self._send()
            self._schedule_next()

    def _send(self) -> None:
        count = self._random.randint(2, MAX_REQUESTS)
        broken = self._random.randrange(count)
        requests = pipelined_requests(
            next(self._numbers), count, broken if self.breaks_answers else None
        )
        self.pending += count
        place, port = next(self._entries)
        pipeline = _OpenPipeline(
            place, self._loop.now(), requests[0].headers['X-Call-Id']
        )
        connection = Connection.dial(self._loop, HOST, port)
        PipelineClient(
            connection,
            requests,
            functools.partial(self._handle_end, pipeline),
        )
        pipeline.timeout = self._loop.call_later(
            CALL_TIMEOUT_S, connection.abort
        )

    def _handle_end(
        self,
        pipeline: '_OpenPipeline',
        request: Message,
        outcome: Message | LostCall,
    ) -> None:
        call_id = request.headers['X-Call-Id']
        result = classify(outcome, call_id)
        self.pending -= 1
        self._on_attempt(
            Attempt(
                call_id=call_id,
                method=request.method,
                path=request.path,
                entry=pipeline.entry,
                sent_at=pipeline.sent_at,
                ended_at=self._loop.now(),
                ending=result.ending,
                reason=result.reason,
                is_behind=call_id != pipeline.first_call,
            )
        )


@attrs.define(eq=False)
class _OpenPipeline:
    """A pipeline with requests that have not ended."""

    entry: str
    sent_at: float
    first_call: str
    timeout: Deadline | None = None


def _events_of(request: Message) -> list[h11.Event]:
    return [
        h11.Request(
            method=request.method,
            target=request.path,
            headers=list(request.headers.items()),
        ),
        h11.EndOfMessage(),
    ]
