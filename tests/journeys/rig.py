"""An operator's console and continuous callers for a small fleet."""

import contextlib
import io
import json
import pathlib
import threading
import time
import uuid
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
    """The exit code and output of a command."""

    code: int
    stdout: str
    stderr: str


@attrs.define
class OperatorConsole:
    """Runs operators' commands on a fleet."""

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
        """Run a command, with a short time limit for the platform."""
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

    def show_settings(self) -> dict[str, Any]:
        """Return a copy of the settings, as `config show` prints it."""
        settings_copy: dict[str, Any] = json.loads(
            self.command('config', 'show').stdout
        )
        return settings_copy

    def write_file(self, name: str, content: Any) -> str:
        """Write a settings file and return its path."""
        path = self.folder / name
        path.write_text(json.dumps(content), encoding='utf-8')
        return str(path)

    def set_defaults(self, **limits: int) -> None:
        """Change limits for all services."""
        settings_copy = self.show_settings()
        settings_copy['tree']['defaults'].update(limits)
        result = self.command(
            'config', 'apply', self.write_file('defaults.json', settings_copy)
        )
        assert result.code == 0, result

    def set_platform_faults(self, **faults: Any) -> None:
        """Set faults of the platform."""
        port = self.fleet.platform_port
        fetch(port, '/faults', method='POST', body=faults)


@attrs.define
class Traffic:
    """Callers that make one call after another, each through one node."""

    failed: list[str] = attrs.field(factory=list)
    answered: int = 0
    _is_ending: threading.Event = attrs.field(factory=threading.Event)
    _threads: list[threading.Thread] = attrs.field(factory=list)

    def add_caller(self, place: Place) -> None:
        """Start another caller at a node."""
        thread = threading.Thread(target=self._run, args=(place.callers_port,))
        self._threads.append(thread)
        thread.start()

    def stop(self) -> None:
        """Stop the callers after their current calls."""
        self._is_ending.set()
        for thread in self._threads:
            thread.join()

    def _run(self, port: int) -> None:
        connection = HTTPConnection(HOST, port, timeout=CALL_TIMEOUT_S)
        with contextlib.closing(connection):
            while not self._is_ending.is_set():
                self._call(connection)
                time.sleep(CALL_PAUSE_S)

    def _call(self, connection: HTTPConnection) -> None:
        try:
            problem = _call_problem(connection)
        except (OSError, HTTPException) as error:
            problem = repr(error)
            connection.close()
        if problem:
            self.failed.append(problem)
        else:
            self.answered += 1


def _call_problem(connection: HTTPConnection) -> str:
    """Make a call; return an empty string or the unexpected answer."""
    # The stand-in keeps records of calls with an id only.
    headers = {'Host': 'docs', 'X-Call-Id': uuid.uuid4().hex}
    connection.request('GET', '/page', headers=headers)
    answer = connection.getresponse()
    body = answer.read()
    return '' if answer.status == OK else f'{answer.status} {body!r}'


def _url(port: int) -> str:
    return f'http://{HOST}:{port}'


@fixture
def console(fleet: SmallFleet) -> Iterator[OperatorConsole]:
    """Provide an operator's console for the small fleet."""
    yield OperatorConsole(fleet, pathlib.Path(fleet.folder))


@fixture
def traffic(fleet: SmallFleet) -> Iterator[Traffic]:
    """Provide a caller at each node that calls until the test ends."""
    new_traffic = Traffic()
    for place in fleet.places:
        new_traffic.add_caller(place)
    try:
        yield new_traffic
    finally:
        new_traffic.stop()


def count_started_calls(place: Place) -> int:
    """Return the number of calls that a target has started."""
    return int(fetch(place.control_port, '/control/counts')['started_calls'])


def count_started_within(places: list[Place], seconds: float) -> list[int]:
    """Return the number of calls that each target starts within a time."""
    before = [count_started_calls(place) for place in places]
    time.sleep(seconds)
    return [
        count_started_calls(place) - count
        for place, count in zip(places, before, strict=True)
    ]
