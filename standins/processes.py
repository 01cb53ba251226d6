"""Child processes: starting, monitoring and stopping them."""

import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
from collections.abc import Callable

import attrs

from daisyline.transport.loop import Loop

HOST = '127.0.0.1'
# The range lies below the ports that the kernel uses for outgoing connections.
FIRST_PORT = 12_000
LAST_PORT = 32_000
CHECK_INTERVAL_S = 0.1
STOP_TIMEOUT_S = 10.0


@attrs.define
class Ports:
    """Allocates free TCP ports on loopback, each of them once."""

    _next: int

    @classmethod
    def from_random(cls) -> 'Ports':
        """Begin at a random port, so that launchers rarely choose the same."""
        return cls(random.randrange(FIRST_PORT, LAST_PORT))

    def take(self) -> int:
        """Return the next free port."""
        while True:
            port = self._next
            self._next = port + 1 if port < LAST_PORT else FIRST_PORT
            if _is_free(port):
                return port


def _is_free(port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


class Processes:
    """The child processes of a launcher, by name.

    Attributes:
        on_exit: Called with the name and the exit code of a child that ended
            without SIGTERM or SIGKILL from this class.
    """

    def __init__(
        self, loop: Loop, log_folder: pathlib.Path | None = None
    ) -> None:
        """Start without children.

        Args:
            loop: The launcher's loop.
            log_folder: The folder for the output of the children: `NAME.log`
                for stderr and `NAME.out` for stdout. Without it stdout is
                discarded and stderr is inherited.
        """
        self.on_exit: Callable[[str, int], None] = _ignore_exit
        self._loop = loop
        self._log_folder = log_folder
        self._children: dict[str, subprocess.Popen[bytes]] = {}
        self._stopping: set[str] = set()
        self._on_all_ended: Callable[[], None] | None = None
        self._check()

    @property
    def names(self) -> list[str]:
        """Return the names of the running children."""
        return list(self._children)

    def start(self, name: str, module: str, /, **flags: object) -> None:
        """Start a Python module as a child process; omit `None` flags."""
        assert name not in self._children, f'{name} runs already'
        command = [sys.executable, '-m', module]
        for flag, setting in flags.items():
            if setting is not None:
                dashed = flag.replace('_', '-')
                command.extend((f'--{dashed}', str(setting)))
        # A new session keeps Ctrl-C from the child; the launcher stops it.
        self._stopping.discard(name)
        log = self._open_log(f'{name}.log')
        out = self._open_log(f'{name}.out')
        self._children[name] = subprocess.Popen(
            command,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL if out is None else out,
            stderr=log,
            env={'DAISYLINE_LOG_LEVEL': 'ERROR', **os.environ},
            start_new_session=True,
        )
        for opened in (log, out):
            if opened is not None:
                os.close(opened)

    def pid(self, name: str) -> int:
        """Return the process id of a child."""
        return self._children[name].pid

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a child, if there is one of this name.

        After SIGTERM or SIGKILL the exit of the child is expected.
        """
        child = self._children.get(name)
        if child is not None:
            if number in {signal.SIGTERM, signal.SIGKILL}:
                self._stopping.add(name)
            child.send_signal(number)

    def stop_all(self, on_ended: Callable[[], None]) -> None:
        """Stop all children, then call a function.

        Children that still run after `STOP_TIMEOUT_S` are killed.
        """
        self._on_all_ended = on_ended
        for name in self.names:
            self.signal(name, signal.SIGTERM)
        self._loop.call_later(STOP_TIMEOUT_S, self.kill_all)

    def kill_all(self) -> None:
        """Kill all children."""
        for name in self.names:
            self.signal(name, signal.SIGKILL)

    def _open_log(self, name: str) -> int | None:
        """Open a log file; `start` closes the descriptor."""
        if self._log_folder is None:
            return None
        path = self._log_folder / name
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        return os.open(path, flags)

    def _check(self) -> None:
        """Reap the children that have ended, and report unexpected exits."""
        for name, child in list(self._children.items()):
            code = child.poll()
            if code is not None:
                self._children.pop(name)
                if name not in self._stopping:
                    self.on_exit(name, code)
        if self._on_all_ended is not None and not self._children:
            on_ended = self._on_all_ended
            self._on_all_ended = None
            on_ended()
        self._loop.call_later(CHECK_INTERVAL_S, self._check)


def _ignore_exit(_name: str, _code: int) -> None:
    """Do nothing."""
