"""The fleet of a soak run: small limits, and relays on the ways."""

import functools
from collections.abc import Callable
from typing import Any

import attrs

from daisyline.transport.loop import Loop
from standins.deployment import Deployment, ServicePlan
from standins.fleet import Fleet, Place
from standins.http import LostCall, Message
from standins.http_client import Client
from standins.processes import HOST, Ports, Processes
from standins.relay import Relay
from standins.relay_model import RelayModel

CALLED = 'catalogue'
CHAINED = 'docs'
# Silent connections stay open at the target, so there is room for some.
CONNECTIONS = 40
# Long enough that a fault often finds calls in progress.
SERVICE_MS = 30
DEPLOYMENT = Deployment(
    name='soak',
    region='flanders',
    zones=('ghent-a', 'ghent-b', 'antwerp-c'),
    services=(
        ServicePlan(
            CALLED,
            upstreams=3,
            slots=6,
            connections=CONNECTIONS,
            service_ms=SERVICE_MS,
        ),
        ServicePlan(
            CHAINED,
            upstreams=3,
            slots=6,
            connections=CONNECTIONS,
            service_ms=SERVICE_MS,
        ),
    ),
)


class Link:
    """A relay on the way to one TCP port, on the launcher's own loop.

    Attributes:
        port: The TCP port that is called in place of the other.
    """

    def __init__(self, loop: Loop, ports: Ports, to_port: int) -> None:
        """Start to relay."""
        self.port = ports.take()
        self._model = RelayModel()
        self._relay = Relay(loop, self._model, to_port)
        self._shut = True
        self.open()

    def open(self) -> None:
        """Accept connections, if that is not so already."""
        if self._shut:
            self._shut = False
            self._relay.start_accepting(self.port)

    def shut(self) -> None:
        """Accept none, as the process behind it is gone."""
        self._shut = True
        self._relay.stop_accepting()

    def silence(self) -> int:
        """Let the connections now open go silent for good; count them."""
        return self._model.freeze()


@attrs.frozen
class Links:
    """The relays of one place: from callers, and to its target."""

    callers: Link
    target: Link


class SoakFleet(Fleet):
    """Six nodes with targets, and a relay on each way but between nodes.

    Attributes:
        links: The relays by place.
        platform_link: The relay between all nodes and the platform.
        report_port: The UDP port that targets report to.
    """

    def __init__(self, loop: Loop, ports: Ports, processes: Processes) -> None:
        """Take ports and start the relays; no process is started."""
        super().__init__(loop, DEPLOYMENT, ports, processes)
        self.loop = loop
        self.processes = processes
        self.platform_link = Link(loop, ports, self.platform_port)
        self.links = {
            place.node_name: Links(
                Link(loop, ports, place.callers_port),
                Link(loop, ports, place.calls_port),
            )
            for place in self.places
        }
        self.report_port = 0

    @property
    def zones(self) -> dict[str, str]:
        """Return the zone of each place."""
        return {place.node_name: place.instance.zone for place in self.places}

    @property
    def entry_ports(self) -> dict[str, int]:
        """Return where callers reach each place's node."""
        return {name: links.callers.port for name, links in self.links.items()}

    def place(self, name: str) -> Place:
        """Return a place by its name."""
        return next(one for one in self.places if one.node_name == name)

    def node_flags(self, place: Place) -> dict[str, Any]:
        """Return the flags of a node, whose way to the platform is relayed."""
        flags = super().node_flags(place)
        port = self.platform_link.port
        flags['platform'] = f'http://{HOST}:{port}'
        return flags

    def target_flags(self, place: Place) -> dict[str, Any]:
        """Return the flags of a target, whose calls are relayed."""
        return {
            **super().target_flags(place),
            'announced_port': self.links[place.node_name].target.port,
            'report_port': self.report_port,
            'chain_service': CHAINED,
        }

    def set_target_faults(self, name: str, **fields: Any) -> None:
        """Set the faults of a place's target."""
        port = self.place(name).control_port
        request = Message.post_json('/control/faults', fields)
        self.ask(port, request, _ignore)

    def set_platform_faults(self, **fields: Any) -> None:
        """Set faults of the platform; the others stay."""
        request = Message.post_json('/faults', fields)
        self.ask(self.platform_port, request, _ignore)

    def ask(
        self,
        port: int,
        request: Message,
        on_end: Callable[[Message | LostCall], None],
    ) -> None:
        """Call a port once, over a connection of its own."""
        client = Client.dial(self.loop, HOST, port)
        client.call(request, functools.partial(_ended, client, on_end))


def _ended(
    client: Client,
    on_end: Callable[[Message | LostCall], None],
    ending: Message | LostCall,
) -> None:
    client.connection.abort()
    on_end(ending)


def _ignore(_ending: Message | LostCall) -> None:
    """Do nothing."""
