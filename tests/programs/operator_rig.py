"""A fake platform and node that the operators' command calls on loopback."""

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

_OBJECTS_PATH = '/v1/objects/'


@attrs.define
class Rig:
    """The content and the faults of the fake platform and node.

    Attributes:
        platform: The platform's settings object.
        url: The base URL of both.
        answers: Further JSON answers, by path.
        settings_follow: Whether the node applies the stored settings.
        is_unavailable: Whether the platform answers 503.
        answers_to_lose: The number of following writes that are made but not
            answered.
    """

    platform: FakeSettingsPlatform
    url: str = ''
    answers: dict[str, Any] = attrs.field(factory=dict)
    settings_follow: bool = True
    is_unavailable: bool = False
    answers_to_lose: int = 0

    def command(self, *argv: str) -> tuple[int, str, str]:
        """Run the command; return its exit code, stdout and stderr."""
        out, err = io.StringIO(), io.StringIO()
        flags = ['--platform', self.url, '--by', 'ann']
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = run([*argv, *flags])
        return code, out.getvalue(), err.getvalue()

    def answer_get(self, path: str) -> tuple[int, Any]:
        """Return the status and JSON content for a GET request."""
        if path.startswith(_OBJECTS_PATH):
            return self._read_object(path)
        if path != '/status':
            return 200, self.answers.get(path)
        version = self.platform.version if self.settings_follow else 0
        member = {
            'name': 'node-1',
            'zone': 'ghent-a',
            'settings_version': version,
            'phase': 'ready',
            'later-field': 1,
        }
        return 200, {**member, 'cluster': 'c', 'members': [member]}

    def answer_put(self, version: int, content: Any) -> tuple[int, Any]:
        """Write the settings; return status (0 for no answer) and content."""
        if self.is_unavailable:
            return 503, None
        effect = PlatformWrite('', 'settings', 'tree', version, content)
        reply = self.platform.write(effect)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return 0, None
        return reply.status, {'version': reply.version}

    def _read_object(self, path: str) -> tuple[int, Any]:
        if self.is_unavailable:
            return 503, None
        if not path.endswith('settings/tree'):
            found = self.answers.get(path)
            return 200 if found else 404, found
        reply = self.platform.read(PlatformRead('', 'settings', 'tree'))
        return reply.status, {'version': reply.version, 'value': reply.content}


class _Handler(server.BaseHTTPRequestHandler):
    """Answers requests with what the rig returns."""

    server: '_RigServer'

    def do_GET(self) -> None:  # noqa: N802
        """Answer a GET request."""
        self._reply(*self.server.rig.answer_get(self.path))

    def do_PUT(self) -> None:  # noqa: N802
        """Answer a PUT request."""
        size = int(self.headers['Content-Length'])
        content = json.loads(self.rfile.read(size))
        version = int(self.headers['If-Match'])
        self._reply(*self.server.rig.answer_put(version, content))

    def log_message(self, *ignored: object) -> None:
        """Discard the server's log lines."""

    def _reply(self, status: int, content: Any) -> None:
        if not status:
            return
        body = json.dumps(content).encode()
        self.send_response(status)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _RigServer(server.HTTPServer):
    """An HTTP server with the rig that its handlers use."""

    def __init__(self, new_rig: Rig) -> None:
        super().__init__(('127.0.0.1', 0), _Handler)
        self.rig = new_rig


@fixture
def rig() -> Iterator[Rig]:
    """Provide a platform with the example settings, and one node."""
    new_rig = Rig(platform_with_tree())
    with _RigServer(new_rig) as running_server:
        new_rig.url = f'http://127.0.0.1:{running_server.server_port}'
        thread = threading.Thread(
            target=running_server.serve_forever, kwargs={'poll_interval': 0.01}
        )
        thread.start()
        # The server also stops if the test fails.
        try:
            yield new_rig
        finally:
            running_server.shutdown()
            thread.join()
