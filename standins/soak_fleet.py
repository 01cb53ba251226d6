"""The fleet of a soak run: small limits, and relays between processes."""

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
from standins.soak_calls import UPLOAD_BYTES
from standins.target_model import PIPELINES_PREFIX

CALLED_SERVICE = 'catalogue'
CHAINED_SERVICE = 'docs'
# Silent connections stay open at the target, so the limit leaves room for some.
MAX_CONNECTIONS = 40
# Long enough that calls are often in progress when a fault begins.
SERVICE_MS = 30
DEPLOYMENT = Deployment(
    name='soak',
    region='flanders',
    zones=('ghent-a', 'ghent-b', 'antwerp-c'),
    services=(
        ServicePlan(
            CALLED_SERVICE,
            upstreams=3,
            slots=6,
            connections=MAX_CONNECTIONS,
            service_ms=SERVICE_MS,
        ),
        ServicePlan(
            CHAINED_SERVICE,
            upstreams=3,
            slots=6,
            connections=MAX_CONNECTIONS,
            service_ms=SERVICE_MS,
        ),
    ),
    defaults={'body_limit_bytes': 2 * UPLOAD_BYTES},
    routes={
        'pipelines': {
            'host': CHAINED_SERVICE,
            'prefix': PIPELINES_PREFIX,
            'services': {CHAINED_SERVICE: 1},
            'repeatable': True,
        },
    },
)


class Link:
    """A relay in front of one TCP port, on the launcher's loop.

    Attributes:
        port: The TCP port of the relay, called in place of the destination's.
    """

    def __init__(self, loop: Loop, ports: Ports, destination_port: int) -> None:
        """Start to relay to a port."""
        self.port = ports.take()
        self._model = RelayModel()
        self._relay = Relay(loop, self._model, destination_port)
        self._is_closed = True
        self.open()

    def open(self) -> None:
        """Accept connections, unless the relay is open already."""
        if self._is_closed:
            self._is_closed = False
            self._relay.start_accepting(self.port)

    def close(self) -> None:
        """Accept no new connections, as if no process listened."""
        self._is_closed = True
        self._relay.stop_accepting()

    def silence(self) -> int:
        """Pass no more bytes on the open connections; return their number."""
        return self._model.freeze()


@attrs.frozen
class Links:
    """The relays of one place: in front of its node and of its target."""

    callers: Link
    target: Link


class SoakFleet(Fleet):
    """Six nodes with targets, with relays on all paths except between nodes.

    Attributes:
        links: The relays by place.
        platform_link: The relay between all nodes and the platform.
        report_port: The UDP port that targets report to.
    """

    def __init__(self, loop: Loop, ports: Ports, processes: Processes) -> None:
        """Allocate ports and start the relays; no process is started."""
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
        """Return the port on which callers reach each place's node."""
        return {name: links.callers.port for name, links in self.links.items()}

    def place(self, name: str) -> Place:
        """Return the place with a name."""
        return next(place for place in self.places if place.node_name == name)

    def node_flags(self, place: Place) -> dict[str, Any]:
        """Return the flags of a node, which reaches the platform by a relay."""
        flags = super().node_flags(place)
        port = self.platform_link.port
        flags['platform'] = f'http://{HOST}:{port}'
        return flags

    def target_flags(self, place: Place) -> dict[str, Any]:
        """Return the flags of a target, which gets its calls by a relay."""
        return {
            **super().target_flags(place),
            'announced_port': self.links[place.node_name].target.port,
            'report_port': self.report_port,
            'chain_service': CHAINED_SERVICE,
        }

    def set_target_faults(self, name: str, **fields: Any) -> None:
        """Set the faults of a place's target."""
        port = self.place(name).control_port
        request = Message.post_json('/control/faults', fields)
        self.send_request(port, request, _ignore)

    def set_platform_faults(self, **fields: Any) -> None:
        """Set the given faults of the platform, and leave the others."""
        request = Message.post_json('/faults', fields)
        self.send_request(self.platform_port, request, _ignore)

    def return_platform(self, **fields: float) -> None:
        """Let the platform come back from a copy; see `StoreReturn`."""
        request = Message.post_json('/return', fields)
        self.send_request(self.platform_port, request, _ignore)

    def send_request(
        self,
        port: int,
        request: Message,
        on_end: Callable[[Message | LostCall], None],
    ) -> None:
        """Send one request to a port, over a new connection."""
        client = Client.dial(self.loop, HOST, port)
        client.call(request, functools.partial(_handle_end, client, on_end))


def _handle_end(
    client: Client,
    on_end: Callable[[Message | LostCall], None],
    outcome: Message | LostCall,
) -> None:
    client.connection.abort()
    on_end(outcome)


def _ignore(_outcome: Message | LostCall) -> None:
    """Do nothing."""
