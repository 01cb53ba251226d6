"""The node on the users' platform: `python -m daisyline.platform`."""

import os
import sys
from pathlib import Path

from daisyline.platform.boot import Boot
from daisyline.platform.front import front_end
from daisyline.programs import logs
from daisyline.transport.node import Node

_SETTINGS_VARIABLE = 'DAISYLINE_SETTINGS'
_EXIT_FAILED = 1
_EXIT_FINDINGS = 2


def main() -> None:
    """Run a node until it is told to stop."""
    boot = _read_boot()
    log = logs.logger_for('node')
    try:
        node = Node.from_config(boot, log, front_end(boot))
    except OSError as error:
        sys.stderr.write(f'daisyline: a port is not free: {error}\n')
        sys.exit(_EXIT_FAILED)
    if node.decisions is not None:
        logs.send_to(node.decisions.message)
    log.info(f'Ready as {boot.name} in {boot.zone}.')
    node.run()


def _read_boot() -> Boot:
    path = os.environ.get(_SETTINGS_VARIABLE, '')
    try:
        text = Path(path).read_text(encoding='utf-8')
    except OSError as error:
        sys.stderr.write(f'daisyline: {_SETTINGS_VARIABLE}: {error}\n')
        sys.exit(_EXIT_FINDINGS)
    boot = Boot.from_text(text)
    if isinstance(boot, Boot):
        return boot
    for finding in boot:
        sys.stderr.write(f'daisyline: {finding}\n')
    sys.exit(_EXIT_FINDINGS)


if __name__ == '__main__':
    main()
