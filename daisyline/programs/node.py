"""The program `daisyline-node`: the node beside one target."""

import os
import sys

from daisyline.programs import logs
from daisyline.programs.node_settings import read_node_settings
from daisyline.protocol.front_end import FrontEnd
from daisyline.transport.node import Node

_EXIT_FAILED = 1


def main() -> None:
    """Run a node until it is told to stop."""
    config = read_node_settings(sys.argv[1:], os.environ)
    logs.configure(config.log_level, config.log_json)
    log = logs.logger_for('node')
    front = FrontEnd(logs_decisions=config.log_decisions)
    try:
        node = Node.from_config(config, log, front)
    except OSError as error:
        sys.stderr.write(f'daisyline-node: a port is not free: {error}\n')
        sys.exit(_EXIT_FAILED)
    log.info(f'Ready as {config.name} in {config.zone}.')
    node.run()


if __name__ == '__main__':
    main()
