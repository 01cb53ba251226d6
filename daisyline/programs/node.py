"""Entry point of `daisyline-node`, the node beside one target."""

import os
import sys

from daisyline.programs import logs
from daisyline.programs.node_settings import read_node_settings
from daisyline.protocol.front_end import FrontEnd
from daisyline.transport.node import Node

_EXIT_FAILED = 1


def main() -> None:
    """Run a node until a signal stops it."""
    config = read_node_settings(sys.argv[1:], os.environ)
    logs.configure(config.log_level, config.log_json)
    log = logs.logger_for('node')
    front_end = FrontEnd(logs_decisions=config.log_decisions)
    try:
        node = Node.from_config(config, log, front_end)
    except OSError as error:
        sys.stderr.write(f'daisyline-node: cannot listen on a port: {error}\n')
        sys.exit(_EXIT_FAILED)
    log.info(f'Node {config.name} in zone {config.zone} is ready.')
    node.run()


if __name__ == '__main__':
    main()
