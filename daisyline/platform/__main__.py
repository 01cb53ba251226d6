"""Runs a node on the users' platform: `python -m daisyline.platform`."""

import gc
import importlib
import signal
import sys


def main() -> None:
    """Load the program with a short start time, and run it."""
    # Its default action would end the process. The loop handles it later, and
    # a change of the settings file until then is found by its stamp.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Loading modules creates no garbage; `Node.run` turns collection on.
    gc.disable()
    # circuits imports pkg_resources for a namespace that it does not need; the
    # import takes a fifth of the start time.
    sys.modules.setdefault('pkg_resources', None)
    importlib.import_module('daisyline.platform.program').main()


if __name__ == '__main__':
    main()
