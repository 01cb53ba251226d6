"""Nodes, targets and a stand-in for the users' platform, as processes."""

import contextlib
import json
import os
import pathlib
import socket
import time
from collections.abc import Iterator
from http import HTTPStatus
from http.client import HTTPConnection
from typing import Any

import attrs

from standins.processes import HOST, Ports
from tests.fixtures import (
    Process,
    fetch,
    kept_on_failure,
    start_logged,
    wait_until,
)
from tests.platform.fixtures import MANIFEST, SETTINGS_FIELDS
from tests.support import fixture

RESPONSE_TIMEOUT_S = 5.0
_SOURCES = pathlib.Path(__file__).resolve().parents[2]


@attrs.define
class Response:
    """A response as the client received it."""

    status: int
    headers: dict[str, str]
    body: bytes


@attrs.define
class UsersPlace:
    """A node on the users' platform and its target."""

    name: str
    zone: str
    ports: dict[str, int]
    node: Process
    target: Process

    def send_request(
        self,
        path: str,
        request_id: str,
        method: str = 'GET',
        deadline_ms: str = '2000',
        **extra_headers: str,
    ) -> Response:
        """Send a request from a client on the same machine."""
        with contextlib.closing(
            HTTPConnection(
                HOST, self.ports['callers'], timeout=RESPONSE_TIMEOUT_S
            )
        ) as connection:
            headers = {
                'Host': 'shop.example',
                'Attempt-Id': request_id,
                'Deadline-Ms': deadline_ms,
                'Expected-Instance': 'forged',
                **extra_headers,
            }
            connection.request(method, path, headers=headers)
            response = connection.getresponse()
            response_headers = {
                key.lower(): text for key, text in response.getheaders()
            }
            return Response(response.status, response_headers, response.read())

    def control_target(self, **fields: Any) -> dict[str, Any]:
        """Change the target's behaviour and return its records."""
        return fetch(self.ports['target'], '/control', 'POST', fields)

    def is_listening(self) -> bool:
        """Return whether the node has opened its port for readiness."""
        with contextlib.suppress(OSError):
            with socket.create_connection((HOST, self.ports['ready'])):
                return True
        return False

    def is_ready(self) -> bool:
        """Return whether the node is ready for clients."""
        with contextlib.closing(
            HTTPConnection(
                HOST, self.ports['ready'], timeout=RESPONSE_TIMEOUT_S
            )
        ) as connection:
            connection.request('GET', '/-/readiness')
            return connection.getresponse().status == HTTPStatus.OK


@attrs.define
class UsersFleet:
    """A platform and a few nodes with their targets."""

    ports: Ports
    folder: str
    platform_port: int
    settings: dict[str, Any] = attrs.field(factory=dict)
    processes: list[Process] = attrs.field(factory=list)
    places: list[UsersPlace] = attrs.field(factory=list)

    def start_program(
        self, module: str, *arguments: str, **env: str
    ) -> Process:
        """Start a program whose output goes to a file in the folder."""
        process = start_logged(
            self.folder,
            len(self.processes),
            [module, *arguments],
            cwd=_SOURCES,
            env={**os.environ, **env},
        )
        self.processes.append(process)
        return process

    def start_platform(self, manifest: dict[str, Any]) -> None:
        """Start the stand-in for the platform with a manifest."""
        self.start_program(
            'standins.users_platform',
            '--port',
            str(self.platform_port),
            '--manifest',
            json.dumps(manifest),
        )

    def add(
        self, zone: str, version: str = 'v1', **settings: Any
    ) -> UsersPlace:
        """Start another node, with some settings changed, and its target."""
        name = f'n{len(self.places)}'
        roles = ('callers', 'notices', 'ready', 'target', 'peers', 'operators')
        ports = {role: self.ports.take() for role in roles}
        place = UsersPlace(
            name,
            zone,
            ports,
            self.start_node(name, zone, ports, **settings),
            self.start_program(
                'standins.users_target',
                '--port',
                str(ports['target']),
                '--notices',
                str(ports['notices']),
                '--service',
                'shop',
                '--version',
                version,
            ),
        )
        self.places.append(place)
        return place

    def start_node(
        self, name: str, zone: str, ports: dict[str, int], **settings: Any
    ) -> Process:
        """Start a node, with some settings changed."""
        fields = {
            **SETTINGS_FIELDS,
            'name': name,
            'zone': zone,
            'host': HOST,
            'store': f'{HOST}:{self.platform_port}',
            'peers_port': ports['peers'],
            'operators_port': ports['operators'],
        }
        if 'usage_window_s' in self.settings:
            fields['duty_api'] = fields['store']
        for role in ('callers', 'notices', 'ready', 'target'):
            fields[role] = f'{HOST}:{ports[role]}'
        fields.update(self.settings | settings)
        path = pathlib.Path(self.folder, f'{name}.json')
        path.write_text(json.dumps(fields), encoding='utf-8')
        return self.start_program(
            'daisyline.platform', DAISYLINE_SETTINGS=str(path)
        )

    def restart_node(self, place: UsersPlace) -> None:
        """Start the node of a place again, after it was killed."""
        place.node = self.start_node(place.name, place.zone, place.ports)

    def change_settings(self, name: str, **fields: Any) -> None:
        """Change the settings file of a node without sending a signal."""
        path = pathlib.Path(self.folder, f'{name}.json')
        stored_fields = json.loads(path.read_text(encoding='utf-8'))
        path.write_text(
            json.dumps({**stored_fields, **fields}), encoding='utf-8'
        )

    def kill(self) -> None:
        """Kill all processes of the fleet."""
        for process in self.processes:
            process.kill()

    def call_platform(self, method: str, path: str, body: Any = None) -> Any:
        """Call the platform's object API as an operator."""
        return fetch(self.platform_port, f'/-/objects/{path}', method, body)

    def return_store(self, **fields: float) -> None:
        """Let the store come back from an older copy, and wait until it has.

        Args:
            fields: The fields of `standins.platform.StoreReturn`.
        """
        era = fetch(self.platform_port, '/return', 'POST', fields)['era']
        wait_until(lambda: fetch(self.platform_port, '/return')['era'] > era)

    def change_manifest(self, **fields: Any) -> float:
        """Write a changed manifest; return the time of its acknowledgement."""
        spec = {**self.call_platform('GET', 'config/main')['spec'], **fields}
        self.call_platform(
            'PUT',
            'config/main',
            {'metadata': {'name': 'main'}, 'spec': spec},
        )
        return time.monotonic()

    def read_decisions(self) -> list[dict[str, Any]]:
        """Return the decisions that the nodes have logged."""
        return [
            json.loads(line)
            for log in pathlib.Path(self.folder).glob('*platform.log')
            for line in log.read_text(encoding='utf-8').splitlines()
            if line.startswith('{')
        ]


def let_target_say_that_it_leaves(
    fleet: UsersFleet, leaving: UsersPlace
) -> None:
    """Send requests until one answer of the target says that it leaves."""
    leaving.control_target(says_leaving=True)
    wait_until(
        lambda: (
            'said'
            in [
                run['id'][:4]
                for place in fleet.places
                if place.send_request('/pages/1', 'said')
                for run in leaving.control_target()['ran']
            ]
        )
    )


def send_for(fleet: UsersFleet, name: str, seconds: float) -> list[int]:
    """Send requests at all nodes for a time; return the statuses."""
    until = time.monotonic() + seconds
    statuses = []
    while time.monotonic() < until:
        for place in fleet.places:
            request_id = f'{name}{len(statuses)}'
            answer = place.send_request('/pages/1', request_id)
            statuses.append(answer.status)
        time.sleep(0.01)
    return statuses


@fixture
def users_fleet() -> Iterator[UsersFleet]:
    """Provide two nodes and targets in two zones, once they are ready."""
    with running_fleet() as fleet:
        yield fleet


@contextlib.contextmanager
def running_fleet(**settings: Any) -> Iterator[UsersFleet]:
    """Run two nodes and targets in two zones.

    Args:
        settings: Settings of all nodes.
    """
    ports = Ports.from_random()
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(kept_on_failure())
        fleet = UsersFleet(ports, folder, ports.take(), settings)
        stack.callback(fleet.kill)
        fleet.start_platform(_manifest())
        for zone in ('ghent-a', 'ghent-b'):
            fleet.add(zone)
        wait_until(lambda: all(map(_has_joined, fleet.places)))
        yield fleet


def _manifest() -> dict[str, Any]:
    """Return a manifest whose routes all lead to the running service."""
    routes = [{**route, 'service': 'shop'} for route in MANIFEST['routes']]
    for route in routes:
        route.pop('trafficSplit', None)
    return {**MANIFEST, 'routes': routes}


def _has_joined(place: UsersPlace) -> bool:
    members = fetch(place.ports['operators'], '/status')['members']
    served = [member for member in members if member['service'] == 'shop']
    return len(served) == 2 and place.is_ready()
