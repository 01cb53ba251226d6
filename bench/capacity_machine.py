"""Description of the machine, the commit and the load of a measurement."""

import os
import platform
import subprocess


def describe_machine() -> str:
    """Return the commit, the cores, the interpreter and the load average."""
    load = ' '.join(f'{one:.1f}' for one in os.getloadavg())
    commit = subprocess.run(
        ['git', 'describe', '--always', '--dirty'],
        capture_output=True,
        text=True,
        check=False,
    ).stdout.strip()
    cores = os.cpu_count()
    version = platform.python_version()
    return f'commit {commit}, {cores} cores, Python {version}, load {load}'
