"""Starts one deployment: its platform, nodes and targets."""

import functools
import json
from collections.abc import Callable
from typing import Any

import attrs

from daisyline.transport.loop import Loop
from standins.deployment import Deployment, Instance
from standins.http import LostCall, Message
from standins.http_client import Client
from standins.processes import HOST, Ports, Processes

START_INTERVAL_S = 0.05
RETRY_INTERVAL_S = 0.25
OK = 200
NODE_MODULE = 'daisyline.programs.node'
TARGET_MODULE = 'standins.target'
PLATFORM_MODULE = 'standins.platform'


@attrs.frozen
class Place:
    """An instance with the ports of its target and its node.

    Attributes:
        seed: Seeds the random service times of the target.
    """

    instance: Instance
    callers_port: int
    peers_port: int
    node_target_port: int
    operators_port: int
    calls_port: int
    control_port: int
    seed: int

    @classmethod
    def from_ports(cls, instance: Instance, ports: Ports, seed: int) -> 'Place':
        """Allocate free ports for an instance."""
        return cls(instance, *(ports.take() for _ in range(6)), seed=seed)

    @property
    def node_name(self) -> str:
        """Return the name of the node's process."""
        return self.instance.name

    @property
    def target_name(self) -> str:
        """Return the name of the target's process."""
        return f'target-{self.node_name}'


class Fleet:
    """Starts the processes of a deployment and reports when they serve."""

    def __init__(
        self,
        loop: Loop,
        deployment: Deployment,
        ports: Ports,
        processes: Processes,
    ) -> None:
        """Allocate ports; no process is started."""
        self.deployment = deployment
        self.platform_port = ports.take()
        self.places = [
            Place.from_ports(instance, ports, seed)
            for seed, instance in enumerate(deployment.instances)
        ]
        self._loop = loop
        self._processes = processes
        self._starting: set[str] = set()

    @property
    def platform_name(self) -> str:
        """Return the name of the platform's process."""
        name = self.deployment.name
        return f'platform-{name}'

    def entry_addresses(self, service: str) -> list[tuple[str, int]]:
        """Return the addresses for callers of the nodes of a service."""
        return [
            (HOST, place.callers_port)
            for place in self.places
            if place.instance.service.name == service
        ]

    def start(self, on_ready: Callable[[], None]) -> None:
        """Start all processes; `on_ready` is called once every node serves."""
        self.start_platform()
        self._starting = {place.node_name for place in self.places}
        for number, place in enumerate(self.places, start=1):
            self._loop.call_later(
                START_INTERVAL_S * number,
                functools.partial(self._start_place, place, on_ready),
            )

    def start_platform(self) -> None:
        """Start the platform with the deployment's settings."""
        self._processes.start(
            self.platform_name,
            PLATFORM_MODULE,
            port=self.platform_port,
            settings=json.dumps(self.deployment.settings),
        )

    def start_node(self, place: Place) -> None:
        """Start the node of a place."""
        flags = self.node_flags(place)
        self._processes.start(place.node_name, NODE_MODULE, **flags)

    def start_target(self, place: Place, version: str = 'v1') -> None:
        """Start the target of a place."""
        flags = self.target_flags(place)
        self._processes.start(
            place.target_name, TARGET_MODULE, version=version, **flags
        )

    def node_flags(self, place: Place) -> dict[str, Any]:
        """Return the flags of a place's node."""
        return {
            'name': place.node_name,
            'zone': place.instance.zone,
            'region': self.deployment.region,
            'cluster': self.deployment.name,
            'host': HOST,
            'callers_port': place.callers_port,
            'peers_port': place.peers_port,
            'target_port': place.node_target_port,
            'operators_port': place.operators_port,
            'platform': f'http://{HOST}:{self.platform_port}',
        }

    def target_flags(self, place: Place) -> dict[str, Any]:
        """Return the flags of a place's target, without its version."""
        service = place.instance.service
        return {
            'port': place.calls_port,
            'control_port': place.control_port,
            'node_target_port': place.node_target_port,
            'seed': place.seed,
            'service': service.name,
            'slots': service.slots,
            'connections': service.connections,
            'service_ms': service.service_ms,
        }

    def _start_place(self, place: Place, on_ready: Callable[[], None]) -> None:
        self.start_node(place)
        self.start_target(place)
        self._request_status(place, on_ready)

    def _request_status(
        self, place: Place, on_ready: Callable[[], None]
    ) -> None:
        """Request the status of a node, then through it that of its service."""
        answered = functools.partial(self._handle_status, place, on_ready)
        self._call(place.operators_port, '/status', '', answered)

    def _handle_status(
        self,
        place: Place,
        on_ready: Callable[[], None],
        ending: Message | LostCall,
    ) -> None:
        if not _is_ok(ending):
            self._retry_status(place, on_ready)
            return
        served = functools.partial(self._handle_readiness, place, on_ready)
        service = place.instance.service.name
        self._call(place.callers_port, '/ready', service, served)

    def _handle_readiness(
        self,
        place: Place,
        on_ready: Callable[[], None],
        ending: Message | LostCall,
    ) -> None:
        if not _is_ok(ending):
            self._retry_status(place, on_ready)
            return
        self._starting.discard(place.node_name)
        if not self._starting:
            on_ready()

    def _retry_status(self, place: Place, on_ready: Callable[[], None]) -> None:
        again = functools.partial(self._request_status, place, on_ready)
        self._loop.call_later(RETRY_INTERVAL_S, again)

    def _call(
        self,
        port: int,
        path: str,
        service: str,
        on_end: Callable[[Message | LostCall], None],
    ) -> None:
        """Make one call over a new connection, which is closed afterwards."""
        client = Client.dial(self._loop, HOST, port)

        def ended(ending: Message | LostCall) -> None:
            client.connection.abort()
            on_end(ending)

        headers = {'Host': service or HOST}
        client.call(Message('GET', path, headers=headers), ended)


@functools.singledispatch
def _is_ok(_ending: object) -> bool:
    """Return whether a call was answered with status 200."""
    return False


@_is_ok.register
def _(ending: Message) -> bool:
    return ending.status == OK
