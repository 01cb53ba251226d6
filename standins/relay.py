"""A TCP relay that delays, cuts and freezes connections at run time."""

import functools
from collections.abc import Callable
from typing import Any

import attrs
import cyclopts

from daisyline.transport.loop import Loop
from daisyline.transport.sockets import Connection, Listener
from standins.http_server import Exchange, Server
from standins.relay_model import RelayModel

HOST = '127.0.0.1'
OK = 200


class _Side:
    """One end of a relayed connection; it hands everything to the other."""

    def __init__(
        self, relay: 'Relay', number: int, connection: Connection
    ) -> None:
        self.connection = connection
        self.other: _Side | None = None
        self.finished = False
        self._relay = relay
        self._number = number
        connection.handler = self

    def handle_connected(self) -> None:
        """Note that the relay's own connection is made."""

    def handle_drained(self) -> None:
        """Note that everything written was handed to the kernel."""

    def handle_bytes(self, octets: bytes) -> None:
        """Pass bytes on."""
        other = self._other()
        self._pass_on(functools.partial(other.connection.write, octets))

    def handle_eof(self) -> None:
        """Pass the end on; a frozen connection ends on this side alone."""
        self.finished = True
        if self._relay.passes(self._number):
            self._pass_on(self._end_other)
        else:
            self.connection.abort()

    def handle_closed(self) -> None:
        """Close the other end, unless the connection is frozen."""
        self._pass_on(self._other().connection.close)
        self._relay.closed(self._number)

    def _end_other(self) -> None:
        """Half-close the other end, or close both if it ended as well."""
        other = self._other()
        if other.finished:
            other.connection.close()
            self.connection.close()
        else:
            other.connection.write_eof()

    def _other(self) -> '_Side':
        assert self.other is not None
        return self.other

    def _pass_on(self, action: Callable[[], None]) -> None:
        self._relay.pass_on(self._number, action)


class Relay:
    """Carries connections to one address as its model decides."""

    def __init__(self, loop: Loop, model: RelayModel, to_port: int) -> None:
        """Prepare; nothing listens yet."""
        self._loop = loop
        self._model = model
        self._to_port = to_port
        self._sides: dict[int, tuple[_Side, _Side]] = {}
        self._listener: Listener | None = None

    def listen(self, port: int, control_port: int) -> None:
        """Accept connections, and faults on the control port."""
        self.accept_on(port)
        Server(self._control).listen(self._loop, HOST, control_port)

    def accept_on(self, port: int) -> None:
        """Accept connections; those of a closed relay may be had again."""
        self._listener = Listener.open(self._loop, HOST, port, self._accept)

    def shut(self) -> None:
        """Accept no connection, as a process that is gone does."""
        if self._listener is not None:
            self._listener.close()

    def passes(self, number: int) -> bool:
        """Return whether a connection is not frozen."""
        return self._model.passes(number)

    def pass_on(self, number: int, action: Callable[[], None]) -> None:
        """Do something to the other end, later or never."""
        if not self._model.passes(number):
            return
        if self._model.delay_s:
            self._loop.call_later(self._model.delay_s, action)
        else:
            action()

    def closed(self, number: int) -> None:
        """Forget a connection that ended on both sides."""
        sides = self._sides.get(number, ())
        if not any(side.connection.is_open for side in sides):
            self._sides.pop(number, None)
            self._model.closed(number)

    def cut(self) -> int:
        """Reset all connections; return how many."""
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
        onward = Connection.dial(self._loop, HOST, self._to_port)
        near = _Side(self, number, connection)
        far = _Side(self, number, onward)
        near.other = far
        far.other = near
        self._sides[number] = (near, far)

    def _control(self, exchange: Exchange) -> None:
        """Change the faults; `cut` and `freeze` hit what is open now."""
        request = exchange.request
        assert request is not None
        fields: dict[str, Any] = request.json() or {}
        self._model.faults = self._model.faults.changed(fields)
        hit = 0
        if fields.get('cut'):
            hit = self.cut()
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
        port: The TCP port that is listened on.
        control_port: The TCP port for `POST /faults`.
        to_port: The TCP port that connections go on to.
        delay_ms: How much later bytes go on at first, each way.
    """
    loop = Loop.create()
    model = RelayModel()
    model.faults = model.faults.changed({'delay_ms': delay_ms})
    Relay(loop, model, to_port).listen(port, control_port)
    loop.run()


if __name__ == '__main__':
    cyclopts.run(main)
