"""Start the stand-ins and nodes of both deployments until a signal."""

import sys

from daisyline.transport.loop import Loop
from standins.deployment import DEPLOYMENTS
from standins.fleet import Fleet, Place
from standins.processes import HOST, Ports, Processes


class Launcher:
    """Starts all fleets, reports when they serve, and stops on a signal.

    Attributes:
        processes: The child processes of all fleets.
        fleets: One fleet for each deployment.
    """

    def __init__(self, loop: Loop) -> None:
        """Allocate ports; no process is started."""
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
        """Stop all processes, then the loop."""
        if not self._stopping:
            self._stopping = True
            self.processes.stop_all(self._loop.stop)

    def ready(self) -> None:
        """Print that every node serves."""
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
    """Print one line and flush it, since a pipe is block-buffered."""
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
    """Run both deployments until a signal arrives."""
    loop = Loop.create()
    Launcher(loop).start()
    loop.run()


if __name__ == '__main__':
    main()
