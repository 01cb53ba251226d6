"""The commands on the pages work as written, on a fleet with those names."""

import os
import pathlib
import re
import subprocess
import sys

import attrs

from tests.fixtures import SmallFleet
from tests.journeys.rig import OperatorConsole
from tests.support import function_tests

load_tests = function_tests(__name__)

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
COMMAND = re.compile(r'daisyline (?!-)[^`]*')
EXAMPLE_URL = re.compile(r'http://10\.0\.[0-9.]+:[0-9]+')


@attrs.define
class Shell:
    """Runs lines of a page as a newcomer does who pastes them."""

    console: OperatorConsole

    def run(self, line: str) -> 'subprocess.CompletedProcess[str]':
        """Run one line in the folder of the one before."""
        command = self.console.folder / 'daisyline'
        python = f'exec {sys.executable} -m daisyline.programs.operator "$@"'
        command.write_text(f'#!/bin/sh\n{python}\n', encoding='utf-8')
        command.chmod(0o755)
        path = os.pathsep.join((str(self.console.folder), os.environ['PATH']))
        return subprocess.run(
            line,
            shell=True,
            cwd=self.console.folder,
            env=os.environ
            | {
                'PATH': path,
                'PYTHONPATH': str(ROOT),
                'DAISYLINE_PLATFORM': self.console.platform_url,
                'DAISYLINE_NODES': self.console.node_urls,
                'EDITOR': 'true',
            },
            capture_output=True,
            text=True,
            timeout=30,
        )


def _page(name: str) -> str:
    return (ROOT / name).read_text(encoding='utf-8')


def _pasted(page: str) -> list[str]:
    """Return the lines of a page that a newcomer runs, in order."""
    blocks = re.findall('^    (.+)$', page, re.MULTILINE)
    shown = [line for line in blocks if _is_command(line)]
    prose = re.sub('^    .*$', '', page, flags=re.MULTILINE)
    inline = [' '.join(found.split()) for found in _inline(prose)]
    return shown + [line for line in inline if _is_command(line)]


def _inline(prose: str) -> list[str]:
    return re.findall('`([^`]+)`', prose)


def _is_command(line: str) -> bool:
    return bool(COMMAND.fullmatch(line)) or line.startswith('$EDITOR')


def test_the_commands_of_the_operators_page_do_what_they_say(
    console: OperatorConsole, fleet: SmallFleet
) -> None:
    lines = _pasted(_page('docs/operators.md'))
    assert len(lines) > 20
    shell = Shell(console)
    failed = []
    for line in lines:
        ended = shell.run(line)
        if ended.returncode:
            failed.append((line, ended.returncode, ended.stderr))
    assert not failed, failed
    shown = shell.run('daisyline status').stdout
    assert all(place.name in shown for place in fleet.places)


def test_the_exports_of_the_page_name_what_the_command_reads() -> None:
    exports = re.findall(
        '^    export ([A-Z_]+)=(.+)$', _page('docs/operators.md'), re.MULTILINE
    )
    assert [name for name, _ in exports] == [
        'DAISYLINE_PLATFORM',
        'DAISYLINE_NODES',
    ]
    for _, given in exports:
        assert all(map(EXAMPLE_URL.fullmatch, given.split(',')))


def test_each_make_target_of_the_first_page_exists() -> None:
    wanted = re.findall('^    make ([a-z]+)', _page('README.md'), re.MULTILINE)
    targets = re.findall('^([a-z]+):', _page('Makefile'), re.MULTILINE)
    assert wanted
    assert set(wanted) <= set(targets)
