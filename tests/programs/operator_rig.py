"""A platform and a node that answer the operators' command on loopback."""

import contextlib
import io
import json
import threading
from collections.abc import Iterator
from http import server
from typing import Any

import attrs

from daisyline.coordination.effects import PlatformRead, PlatformWrite
from daisyline.programs.operator import run
from tests.coordination.settings_platform import (
    FakeSettingsPlatform,
    platform_with_tree,
)
from tests.support import fixture

_STORED_PATHS = '/v1/objects/'


@attrs.define
class Rig:
    """What the platform holds, what the node says, and how both fare.

    Attributes:
        store: The settings object.
        answers: What the node answers, by path.
        follows: Whether the node's settings follow the store.
        down: Whether the platform answers 503.
        lost_answers: How many answers to writes are still to be lost.
    """

    store: FakeSettingsPlatform
    url: str = ''
    answers: dict[str, Any] = attrs.field(factory=dict)
    follows: bool = True
    down: bool = False
    lost_answers: int = 0

    def command(self, *argv: str) -> tuple[int, str, str]:
        """Run the command; return its exit code, result and messages."""
        out, err = io.StringIO(), io.StringIO()
        flags = ['--platform', self.url, '--by', 'ann']
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = run([*argv, *flags])
        return code, out.getvalue(), err.getvalue()

    def answer(self, path: str) -> tuple[int, Any]:
        """Answer a GET."""
        if path.startswith(_STORED_PATHS):
            return self._stored(path)
        if path != '/status':
            return 200, self.answers.get(path)
        version = self.store.version if self.follows else 0
        member = {
            'name': 'node-1',
            'zone': 'ghent-a',
            'settings_version': version,
            'phase': 'ready',
            'later-field': 1,
        }
        return 200, {**member, 'cluster': 'c', 'members': [member]}

    def take(self, version: int, content: Any) -> tuple[int, Any]:
        """Answer a PUT of the settings; status 0 means no answer."""
        if self.down:
            return 503, None
        effect = PlatformWrite('', 'settings', 'tree', version, content)
        reply = self.store.write(effect)
        if self.lost_answers:
            self.lost_answers -= 1
            return 0, None
        return reply.status, {'version': reply.version}

    def _stored(self, path: str) -> tuple[int, Any]:
        if self.down:
            return 503, None
        if not path.endswith('settings/tree'):
            found = self.answers.get(path)
            return 200 if found else 404, found
        reply = self.store.read(PlatformRead('', 'settings', 'tree'))
        return reply.status, {'version': reply.version, 'value': reply.content}


class _Handler(server.BaseHTTPRequestHandler):
    """Answer from the rig of the server."""

    server: '_RigServer'

    def do_GET(self) -> None:  # noqa: N802
        """Answer a read."""
        self._reply(*self.server.rig.answer(self.path))

    def do_PUT(self) -> None:  # noqa: N802
        """Answer a write."""
        size = int(self.headers['Content-Length'])
        content = json.loads(self.rfile.read(size))
        version = int(self.headers['If-Match'])
        self._reply(*self.server.rig.take(version, content))

    def log_message(self, *ignored: object) -> None:
        """Keep the tests' output short."""

    def _reply(self, status: int, content: Any) -> None:
        if not status:
            return
        body = json.dumps(content).encode()
        self.send_response(status)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _RigServer(server.HTTPServer):
    """A server that knows its rig."""

    def __init__(self, made: Rig) -> None:
        super().__init__(('127.0.0.1', 0), _Handler)
        self.rig = made


@fixture
def rig() -> Iterator[Rig]:
    """Give a platform with the example tree and one node."""
    made = Rig(platform_with_tree())
    with _RigServer(made) as serving:
        made.url = f'http://127.0.0.1:{serving.server_port}'
        thread = threading.Thread(
            target=serving.serve_forever, kwargs={'poll_interval': 0.01}
        )
        thread.start()
        # A failing test must not leave the server behind.
        try:
            yield made
        finally:
            serving.shutdown()
            thread.join()
