"""The program that runs a node on the users' platform."""

import os
import sys
from pathlib import Path

from daisyline.platform.settings_file import SettingsFile
from daisyline.programs import logs
from daisyline.transport.node import Node

_SETTINGS_VARIABLE = 'DAISYLINE_SETTINGS'
_EXIT_FAILED = 1
_EXIT_FINDINGS = 2


def main() -> None:
    """Run a node until a signal stops it."""
    settings = SettingsFile.read(Path(os.environ.get(_SETTINGS_VARIABLE, '')))
    if not isinstance(settings, SettingsFile):
        for finding in settings:
            sys.stderr.write(f'daisyline: {_SETTINGS_VARIABLE}: {finding}\n')
        sys.exit(_EXIT_FINDINGS)
    boot = settings.boot
    log = logs.logger_for('node')
    try:
        node = Node.from_config(boot, log, settings.front_end())
    except OSError as error:
        sys.stderr.write(f'daisyline: cannot listen on a port: {error}\n')
        sys.exit(_EXIT_FAILED)
    if node.decisions is not None:
        logs.redirect_to(node.decisions.write_message)
    log.info(f'Node {boot.name} in zone {boot.zone} is ready.')
    node.run()
