"""Nodes and targets on a stand-in of the users' platform, as processes."""

import contextlib
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from http import HTTPStatus
from http.client import HTTPConnection
from typing import Any

import attrs

from standins.processes import HOST, Ports
from tests.fixtures import Process, fetch, wait_until
from tests.platform.fixtures import MANIFEST, SETTINGS_FIELDS
from tests.support import fixture

ANSWER_S = 5.0
_SOURCES = pathlib.Path(__file__).resolve().parents[2]


@attrs.define
class Answered:
    """What a client got."""

    status: int
    headers: dict[str, str]
    body: bytes


@attrs.define
class UsersPlace:
    """A node on the users' platform and the target beside it."""

    name: str
    zone: str
    ports: dict[str, int]
    node: Process
    target: Process

    def ask(
        self,
        path: str,
        request_id: str,
        method: str = 'GET',
        deadline_ms: str = '2000',
    ) -> Answered:
        """Send a request as a client on this machine."""
        with contextlib.closing(
            HTTPConnection(HOST, self.ports['callers'], timeout=ANSWER_S)
        ) as connection:
            headers = {
                'Host': 'shop.example',
                'Attempt-Id': request_id,
                'Deadline-Ms': deadline_ms,
                'Expected-Instance': 'forged',
            }
            connection.request(method, path, headers=headers)
            answer = connection.getresponse()
            named = {key.lower(): text for key, text in answer.getheaders()}
            return Answered(answer.status, named, answer.read())

    def control(self, **fields: Any) -> dict[str, Any]:
        """Change the target and return what it has run."""
        return fetch(self.ports['target'], '/control', 'POST', fields)

    def is_ready(self) -> bool:
        """Return whether the node says that it takes clients."""
        with contextlib.closing(
            HTTPConnection(HOST, self.ports['ready'], timeout=ANSWER_S)
        ) as connection:
            connection.request('GET', '/-/readiness')
            return connection.getresponse().status == HTTPStatus.OK


@attrs.define
class UsersFleet:
    """A store and a few places."""

    ports: Ports
    folder: str
    store_port: int
    processes: list[Process] = attrs.field(factory=list)
    places: list[UsersPlace] = attrs.field(factory=list)

    def run(self, module: str, *words: str, **env: str) -> Process:
        """Start a program; its lines go into a file of the folder."""
        number = len(self.processes)
        log = pathlib.Path(self.folder, f'{number}-{module}.log')
        with log.open('wb') as lines:
            popen = subprocess.Popen(
                [sys.executable, '-m', module, *words],
                stdout=lines,
                stderr=subprocess.STDOUT,
                cwd=_SOURCES,
                env={**os.environ, **env},
            )
        process = Process(popen)
        self.processes.append(process)
        return process

    def add(self, zone: str) -> UsersPlace:
        """Start a node and its target."""
        name = f'n{len(self.places)}'
        roles = ('callers', 'notices', 'ready', 'target', 'peers', 'operators')
        ports = {role: self.ports.take() for role in roles}
        place = UsersPlace(
            name,
            zone,
            ports,
            self.start_node(name, zone, ports),
            self.run(
                'standins.users_target',
                '--port',
                str(ports['target']),
                '--notices',
                str(ports['notices']),
                '--service',
                'shop',
            ),
        )
        self.places.append(place)
        return place

    def start_node(
        self, name: str, zone: str, ports: dict[str, int]
    ) -> Process:
        """Start the node of a place."""
        said = {
            **SETTINGS_FIELDS,
            'name': name,
            'zone': zone,
            'host': HOST,
            'store': f'{HOST}:{self.store_port}',
            'peers_port': ports['peers'],
            'operators_port': ports['operators'],
        }
        for role in ('callers', 'notices', 'ready', 'target'):
            said[role] = f'{HOST}:{ports[role]}'
        path = pathlib.Path(self.folder, f'{name}.json')
        path.write_text(json.dumps(said), encoding='utf-8')
        return self.run('daisyline.platform', DAISYLINE_SETTINGS=str(path))

    def change_settings(self, name: str, **fields: Any) -> None:
        """Replace the settings file of a node, without a signal."""
        path = pathlib.Path(self.folder, f'{name}.json')
        said = json.loads(path.read_text(encoding='utf-8'))
        path.write_text(json.dumps({**said, **fields}), encoding='utf-8')

    def kill(self) -> None:
        """End every process that was started."""
        for process in self.processes:
            process.kill()

    def store(self, method: str, path: str, body: Any = None) -> Any:
        """Call the store as an operator."""
        return fetch(self.store_port, f'/-/objects/{path}', method, body)

    def change_manifest(self, **fields: Any) -> float:
        """Write a changed manifest; return when it was acknowledged."""
        spec = {**self.store('GET', 'config/main')['spec'], **fields}
        self.store(
            'PUT',
            'config/main',
            {'metadata': {'name': 'main'}, 'spec': spec},
        )
        return time.monotonic()

    def lines(self) -> list[dict[str, Any]]:
        """Return the decisions that all nodes have logged."""
        return [
            json.loads(line)
            for log in pathlib.Path(self.folder).glob('*platform.log')
            for line in log.read_text(encoding='utf-8').splitlines()
            if line.startswith('{')
        ]


@fixture
def users_fleet() -> Iterator[UsersFleet]:
    """Two places in two zones, that serve."""
    ports = Ports.from_random()
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        fleet = UsersFleet(ports, folder, ports.take())
        stack.callback(fleet.kill)
        fleet.run(
            'standins.users_platform',
            '--port',
            str(fleet.store_port),
            '--manifest',
            json.dumps(_manifest()),
        )
        for zone in ('ghent-a', 'ghent-b'):
            fleet.add(zone)
        wait_until(lambda: all(map(_knows_both, fleet.places)))
        yield fleet


def _manifest() -> dict[str, Any]:
    """Return a manifest whose routes all lead to the service that is there."""
    routes = [{**route, 'service': 'shop'} for route in MANIFEST['routes']]
    for route in routes:
        route.pop('trafficSplit', None)
    return {**MANIFEST, 'routes': routes}


def _knows_both(place: UsersPlace) -> bool:
    members = fetch(place.ports['operators'], '/status')['members']
    served = [member for member in members if member['service'] == 'shop']
    return len(served) == 2 and place.is_ready()
