"""An operator at work on a small fleet, and callers that go on calling."""

import contextlib
import io
import json
import pathlib
import tempfile
import threading
import time
from collections.abc import Iterator
from http.client import HTTPConnection, HTTPException
from typing import Any
from unittest import mock

import attrs

from daisyline.programs import operator, operator_settings
from standins.processes import HOST
from tests.fixtures import Place, SmallFleet, fetch
from tests.support import fixture

CALL_TIMEOUT_S = 8.0
CALL_PAUSE_S = 0.004
PLATFORM_TIMEOUT_S = 1.0
OK = 200


@attrs.frozen
class CommandResult:
    """What a command did."""

    code: int
    out: str
    err: str


@attrs.define
class OperatorConsole:
    """Runs the operators' command against a fleet."""

    fleet: SmallFleet
    folder: pathlib.Path

    @property
    def platform_url(self) -> str:
        return _url(self.fleet.platform_port)

    @property
    def node_urls(self) -> str:
        return ','.join(
            _url(place.operators_port) for place in self.fleet.places
        )

    def command(self, *argv: str) -> CommandResult:
        """Run a command; one that meets no platform gives up soon."""
        out, err = io.StringIO(), io.StringIO()
        flags = ['--platform', self.platform_url, '--nodes', self.node_urls]
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
            mock.patch.object(
                operator_settings, 'PLATFORM_TIMEOUT_S', PLATFORM_TIMEOUT_S
            ),
        ):
            code = operator.run([*argv, *flags])
        return CommandResult(code, out.getvalue(), err.getvalue())

    def tree(self) -> dict[str, Any]:
        """Return an editable copy of the settings, as `config show` does."""
        shown: dict[str, Any] = json.loads(self.command('config', 'show').out)
        return shown

    def file(self, name: str, content: Any) -> str:
        """Write a settings file and return its path."""
        path = self.folder / name
        path.write_text(json.dumps(content), encoding='utf-8')
        return str(path)

    def set_defaults(self, **limits: int) -> None:
        """Put limits for all services in force."""
        shown = self.tree()
        shown['tree']['defaults'].update(limits)
        ended = self.command(
            'config', 'apply', self.file('defaults.json', shown)
        )
        assert ended.code == 0, ended

    def platform_faults(self, **faults: Any) -> None:
        """Set faults of the platform."""
        port = self.fleet.platform_port
        fetch(port, '/faults', method='POST', body=faults)


@attrs.define
class Traffic:
    """Callers that call without a pause, one for each node."""

    failed: list[str] = attrs.field(factory=list)
    answered: int = 0
    _over: threading.Event = attrs.field(factory=threading.Event)
    _threads: list[threading.Thread] = attrs.field(factory=list)

    def call_through(self, place: Place) -> None:
        """Start one more caller at a node."""
        thread = threading.Thread(target=self._run, args=(place.callers_port,))
        self._threads.append(thread)
        thread.start()

    def end(self) -> None:
        """Wait for the calls in progress."""
        self._over.set()
        for thread in self._threads:
            thread.join()

    def _run(self, port: int) -> None:
        connection = HTTPConnection(HOST, port, timeout=CALL_TIMEOUT_S)
        with contextlib.closing(connection):
            while not self._over.is_set():
                self._call(connection)
                time.sleep(CALL_PAUSE_S)

    def _call(self, connection: HTTPConnection) -> None:
        try:
            problem = _problem(connection)
        except (OSError, HTTPException) as error:
            problem = repr(error)
            connection.close()
        if problem:
            self.failed.append(problem)
        else:
            self.answered += 1


def _problem(connection: HTTPConnection) -> str:
    """Call once; return what is wrong with the answer, if anything is."""
    connection.request('GET', '/page', headers={'Host': 'docs'})
    answer = connection.getresponse()
    body = answer.read()
    return '' if answer.status == OK else f'{answer.status} {body!r}'


def _url(port: int) -> str:
    return f'http://{HOST}:{port}'


@fixture
def console(fleet: SmallFleet) -> Iterator[OperatorConsole]:
    """Give an operator of the small fleet."""
    with tempfile.TemporaryDirectory() as folder:
        yield OperatorConsole(fleet, pathlib.Path(folder))


@fixture
def traffic(fleet: SmallFleet) -> Iterator[Traffic]:
    """Give callers at each node, that call until the test ends."""
    made = Traffic()
    for place in fleet.places:
        made.call_through(place)
    try:
        yield made
    finally:
        made.end()


def count_started_calls(place: Place) -> int:
    """Return how many calls a target has begun."""
    return int(fetch(place.control_port, '/control/counts')['started_calls'])


def count_started_within(places: list[Place], seconds: float) -> list[int]:
    """Return how many calls each target begins within a time."""
    before = [count_started_calls(place) for place in places]
    time.sleep(seconds)
    return [
        count_started_calls(place) - count
        for place, count in zip(places, before, strict=True)
    ]
