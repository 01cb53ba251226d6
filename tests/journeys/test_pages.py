"""The commands on the pages work as written on a fleet with those names."""

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
    """Runs command lines of a page in a shell."""

    console: OperatorConsole

    def run(self, line: str) -> 'subprocess.CompletedProcess[str]':
        """Run a line in the console's folder, like the lines before it."""
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


def _command_lines(page: str) -> list[str]:
    """Return the command lines of a page: first the blocks, then the prose."""
    indented_lines = re.findall('^    (.+)$', page, re.MULTILINE)
    commands = [line for line in indented_lines if _is_command(line)]
    prose = re.sub('^    .*$', '', page, flags=re.MULTILINE)
    inline = [' '.join(found.split()) for found in _inline_code(prose)]
    return commands + [line for line in inline if _is_command(line)]


def _inline_code(prose: str) -> list[str]:
    return re.findall('`([^`]+)`', prose)


def _is_command(line: str) -> bool:
    return bool(COMMAND.fullmatch(line)) or line.startswith('$EDITOR')


def test_the_commands_on_the_operators_page_succeed(
    console: OperatorConsole, fleet: SmallFleet
) -> None:
    lines = _command_lines(_page('docs/operators.md'))
    assert len(lines) > 20
    shell = Shell(console)
    failed = []
    for line in lines:
        result = shell.run(line)
        if result.returncode:
            failed.append((line, result.returncode, result.stderr))
    assert not failed, failed
    status = shell.run('daisyline status').stdout
    assert all(place.name in status for place in fleet.places)


def test_the_exports_on_the_page_name_variables_of_the_command() -> None:
    exports = re.findall(
        '^    export ([A-Z_]+)=(.+)$', _page('docs/operators.md'), re.MULTILINE
    )
    assert [name for name, _ in exports] == [
        'DAISYLINE_PLATFORM',
        'DAISYLINE_NODES',
    ]
    for _, urls in exports:
        assert all(map(EXAMPLE_URL.fullmatch, urls.split(',')))


def test_each_make_target_in_the_readme_exists() -> None:
    named_targets = re.findall(
        '^    make ([a-z]+)', _page('README.md'), re.MULTILINE
    )
    targets = re.findall('^([a-z]+):', _page('Makefile'), re.MULTILINE)
    assert named_targets
    assert set(named_targets) <= set(targets)
