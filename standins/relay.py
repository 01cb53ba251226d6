"""A TCP relay that delays, resets and freezes connections at run time."""

import functools
from collections.abc import Callable
from typing import Any

import attrs
import cyclopts

from daisyline.transport.listener import Listener
from daisyline.transport.loop import Loop
from daisyline.transport.sockets import Connection
from standins.http_server import Exchange, Server
from standins.relay_model import RelayModel

HOST = '127.0.0.1'
OK = 200


class _Side:
    """One end of a relayed connection, which forwards to the other end."""

    def __init__(
        self, relay: 'Relay', number: int, connection: Connection
    ) -> None:
        self.connection = connection
        self.other: _Side | None = None
        self.is_ended = False
        self._relay = relay
        self._number = number
        connection.handler = self

    def handle_connected(self) -> None:
        """Handle that the outgoing connection is established."""

    def handle_drained(self) -> None:
        """Handle that everything written was passed to the kernel."""

    def handle_bytes(self, octets: bytes) -> None:
        """Forward received bytes."""
        other = self._other()
        self._forward(functools.partial(other.connection.write, octets))

    def handle_eof(self) -> None:
        """Forward the half-close; a frozen connection aborts this end only."""
        self.is_ended = True
        if self._relay.is_forwarding(self._number):
            self._forward(self._end_other)
        else:
            self.connection.abort()

    def handle_closed(self) -> None:
        """Close the other end, unless the connection is frozen."""
        self._forward(self._other().connection.close)
        self._relay.closed(self._number)

    def _end_other(self) -> None:
        """Half-close the other end, or close both if that one has ended too."""
        other = self._other()
        if other.is_ended:
            other.connection.close()
            self.connection.close()
        else:
            other.connection.write_eof()

    def _other(self) -> '_Side':
        assert self.other is not None
        return self.other

    def _forward(self, action: Callable[[], None]) -> None:
        self._relay.forward(self._number, action)


class Relay:
    """Relays connections to one address according to its model."""

    def __init__(self, loop: Loop, model: RelayModel, to_port: int) -> None:
        """Prepare; nothing listens yet."""
        self._loop = loop
        self._model = model
        self._to_port = to_port
        self._sides: dict[int, tuple[_Side, _Side]] = {}
        self._listener: Listener | None = None

    def listen(self, port: int, control_port: int) -> None:
        """Accept connections on a port, and faults on the control port."""
        self.start_accepting(port)
        Server(self._control).listen(self._loop, HOST, control_port)

    def start_accepting(self, port: int) -> None:
        """Begin to accept connections, also again after `stop_accepting`."""
        self._listener = Listener.open(self._loop, HOST, port, self._accept)

    def stop_accepting(self) -> None:
        """Refuse new connections, as if the process had exited."""
        if self._listener is not None:
            self._listener.close()

    def is_forwarding(self, number: int) -> bool:
        """Return whether a connection is not frozen."""
        return self._model.is_forwarding(number)

    def forward(self, number: int, action: Callable[[], None]) -> None:
        """Act on the other end after the delay; never if it is frozen."""
        if not self._model.is_forwarding(number):
            return
        if self._model.delay_s:
            self._loop.call_later(self._model.delay_s, action)
        else:
            action()

    def closed(self, number: int) -> None:
        """Remove a connection whose ends are both closed."""
        sides = self._sides.get(number, ())
        if not any(side.connection.is_open for side in sides):
            self._sides.pop(number, None)
            self._model.closed(number)

    def reset_all(self) -> int:
        """Reset all connections and return their number."""
        pairs = list(self._sides.values())
        for pair in pairs:
            for side in pair:
                side.connection.reset()
        return len(pairs)

    def _accept(self, connection: Connection) -> None:
        number = self._model.opened()
        if number is None:
            connection.reset()
            return
        outgoing = Connection.dial(self._loop, HOST, self._to_port)
        near = _Side(self, number, connection)
        far = _Side(self, number, outgoing)
        near.other = far
        far.other = near
        self._sides[number] = (near, far)

    def _control(self, exchange: Exchange) -> None:
        """Change the faults; `cut` and `freeze` apply to open connections."""
        request = exchange.request
        assert request is not None
        fields: dict[str, Any] = request.json() or {}
        self._model.faults = self._model.faults.with_changes(fields)
        hit = 0
        if fields.get('cut'):
            hit = self.reset_all()
        if fields.get('freeze'):
            hit = self._model.freeze()
        content = attrs.asdict(self._model.faults)
        content.update(hit=hit, open=len(self._sides))
        exchange.answer(OK, content)


def main(
    *, port: int, control_port: int, to_port: int, delay_ms: float = 0
) -> None:
    """Relay TCP connections on loopback.

    Args:
        port: The TCP port to listen on.
        control_port: The TCP port for `POST /faults`.
        to_port: The TCP port to forward connections to.
        delay_ms: The initial delay of bytes each way, in milliseconds.
    """
    loop = Loop.create()
    model = RelayModel()
    model.faults = model.faults.with_changes({'delay_ms': delay_ms})
    Relay(loop, model, to_port).listen(port, control_port)
    loop.run()


if __name__ == '__main__':
    cyclopts.run(main)
