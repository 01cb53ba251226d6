"""A stand-in target of the users' platform, with heartbeats and headers."""

import itertools
import time
from typing import Annotated, Any

import attrs
import cyclopts

from daisyline.transport.loop import Loop
from standins.http import LostCall, Message
from standins.http_client import ClientPool
from standins.http_server import Exchange, Server

HOST = '127.0.0.1'
HEARTBEAT_INTERVAL_S = 0.3
OK = 200
NOT_RUN = 421
FAILED = 500
_MS_PER_S = 1000
_NS_PER_MS = 1_000_000


@attrs.define
class TargetState:
    """The behaviour of a target, which a test can change at run time.

    Attributes:
        state: The state that heartbeats report.
        work_ms: The service time of a request, in milliseconds.
        pace: The pace in the load header, in percent.
        status: The HTTP status of answers.
        fail_every: Each so many answers one is a failure; none if it is 0.
        break_off: Whether the connection is closed in the middle of an answer.
        wrong_id: Whether answers carry the id of another request.
        limit: The limit that answers name; empty if they name none.
        says_leaving: Whether answers say that the target leaves.
    """

    state: str = 'ready'
    work_ms: int = 5
    pace: int = 100
    status: int = OK
    fail_every: int = 0
    break_off: bool = False
    wrong_id: bool = False
    limit: str = ''
    says_leaving: bool = False


class UsersTarget:
    """Runs and records requests, and sends heartbeats to its node."""

    def __init__(
        self,
        loop: Loop,
        address: str,
        service: str,
        notices: int,
        version: str,
    ) -> None:
        """Prepare the target; nothing listens yet."""
        self._loop = loop
        self._address = address
        self._service = service
        self._version = version
        self._notices = ClientPool(loop, HOST, notices)
        self._instance = f'i-{time.time_ns():x}'
        self._born = time.time_ns() // _NS_PER_MS
        self._sequence = itertools.count(1)
        self._ran: list[dict[str, Any]] = []
        self._acknowledged: list[str] = []
        self._state = TargetState()
        self.server = Server(self._serve)

    def send_heartbeat(self) -> None:
        """Send a heartbeat now and at each interval."""
        state = self._state.state
        fields = {
            'service': self._service,
            'address': self._address,
            'zone': 'ghent-a',
            'version': self._version,
            'slots': 2,
            'state': state,
            'coldRemainingS': 0,
            'sequence': next(self._sequence),
            'born': self._born,
        }
        path = f'/-/rpc?call=instances.heartbeat&of={self._instance}'

        def ended(ending: Message | LostCall) -> None:
            if isinstance(ending, Message) and ending.status == OK:
                self._acknowledged.append(state)

        self._notices.call(Message.post_json(path, fields), ended)
        self._loop.call_later(HEARTBEAT_INTERVAL_S, self.send_heartbeat)

    def _serve(self, exchange: Exchange) -> None:
        request = exchange.request
        assert request is not None
        if request.path == '/control':
            fields = request.json() or {}
            self._state = attrs.evolve(self._state, **fields)
            exchange.answer(
                OK, {'ran': self._ran, 'acknowledged': self._acknowledged}
            )
        elif request.path == '/health':
            exchange.answer(OK, {}, self._load())
        elif request.headers.get('expected-instance') == self._instance:
            self._run(exchange, request)
        else:
            exchange.answer(NOT_RUN, {})

    def _run(self, exchange: Exchange, request: Message) -> None:
        number = len(self._ran) + 1
        fails = self._state.fail_every and not number % self._state.fail_every
        status = FAILED if fails else self._state.status
        self._ran.append(
            {
                'at': time.monotonic(),
                'status': status,
                'id': request.headers.get('attempt-id'),
                'left_ms': request.headers.get('deadline-ms'),
                'caller': request.headers.get('caller-service'),
                'path': request.path,
                'tenant': request.headers.get('tenant'),
                'authorization': request.headers.get('authorization'),
                'body_bytes': len(request.body),
            }
        )
        work_s = self._state.work_ms / _MS_PER_S
        self._loop.call_later(
            work_s, lambda: self._answer(exchange, request, status)
        )

    def _answer(
        self, exchange: Exchange, request: Message, status: int
    ) -> None:
        said_id = 'other' if self._state.wrong_id else None
        headers = {
            'Attempt-Id': said_id or request.headers.get('attempt-id', ''),
            'Server-Signature': 'signed',
            **self._condition(),
        }
        if self._state.break_off:
            fields = [f'{name}: {text}\r\n' for name, text in headers.items()]
            head = ''.join(
                (
                    'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n',
                    *fields,
                    '\r\nhalf',
                )
            )
            exchange.connection.write(head.encode())
            exchange.connection.abort()
            return
        exchange.answer(status, {'by': self._address}, headers)

    def _condition(self) -> dict[str, str]:
        headers = self._load()
        if self._state.limit:
            headers['Server-Limit'] = self._state.limit
        if self._state.says_leaving:
            headers['Server-Leaving'] = '1'
        return headers

    def _load(self) -> dict[str, str]:
        pace = self._state.pace
        return {'Server-Load': f'0,0,2,{pace}'}


def main(
    *,
    port: Annotated[int, cyclopts.Parameter(help='TCP port.')],
    notices: Annotated[int, cyclopts.Parameter(help="Its node's port.")],
    service: str,
    version: str = 'v1',
) -> None:
    """Run a target until a signal stops it.

    Args:
        port: The TCP port.
        notices: The TCP port of the node that receives heartbeats.
        service: The service that the target is an upstream of.
        version: The version of its software.
    """
    loop = Loop.create()
    address = f'{HOST}:{port}'
    target = UsersTarget(loop, address, service, notices, version)
    target.server.listen(loop, HOST, port)
    target.send_heartbeat()
    loop.run()


if __name__ == '__main__':
    cyclopts.run(main)
