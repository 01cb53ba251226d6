"""Start the stand-ins and nodes of both deployments, and stay."""

import sys

from daisyline.transport.loop import Loop
from standins.deployment import DEPLOYMENTS
from standins.fleet import Fleet, Place
from standins.processes import HOST, Ports, Processes


class Launcher:
    """Starts all fleets, tells when they serve, and ends them on a signal.

    Attributes:
        fleets: One for each deployment.
    """

    def __init__(self, loop: Loop) -> None:
        """Take ports; nothing is started."""
        ports = Ports.from_random()
        self.processes = Processes(loop)
        self.fleets = [
            Fleet(loop, deployment, ports, self.processes)
            for deployment in DEPLOYMENTS
        ]
        self._loop = loop
        self._stopping = False
        self._starting = len(self.fleets)
        loop.on_signal = self._on_signal
        self.processes.on_exit = _report_exit

    def start(self) -> None:
        """Start all fleets."""
        for fleet in self.fleets:
            fleet.start(self._fleet_ready)

    def stop(self) -> None:
        """End all processes, then the loop."""
        if not self._stopping:
            self._stopping = True
            self.processes.stop_all(self._loop.stop)

    def ready(self) -> None:
        """Say that every node serves."""
        print_line('ready')

    def _fleet_ready(self) -> None:
        self._starting -= 1
        if not self._starting and not self._stopping:
            for fleet in self.fleets:
                for place in fleet.places:
                    print_line(_line_of(place))
            self.ready()

    def _on_signal(self, _number: int) -> None:
        self.stop()


def print_line(line: str) -> None:
    """Print one line at once, also into a pipe."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def _line_of(place: Place) -> str:
    name, service = place.node_name, place.instance.service.name
    zone, port = place.instance.zone, place.callers_port
    where = f'node {name} service {service} zone {zone}'
    return f'{where} callers http://{HOST}:{port}'


def _report_exit(name: str, code: int) -> None:
    print_line(f'ended {name} code {code}')


def main() -> None:
    """Run until a signal comes."""
    loop = Loop.create()
    Launcher(loop).start()
    loop.run()


if __name__ == '__main__':
    main()
