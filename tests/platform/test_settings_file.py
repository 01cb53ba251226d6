"""Changes of a settings file and signals while a process starts."""

import contextlib
import gc
import importlib
import json
import pathlib
import signal
import tempfile
from collections.abc import Iterator
from typing import Any
from unittest import mock

from daisyline.platform import __main__ as program
from daisyline.platform.settings_file import SettingsFile
from daisyline.transport.file_watch import CHECK_INTERVAL_S, FileWatcher
from tests.platform.fixtures import SETTINGS_FIELDS
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)


@fixture
def settings_path() -> Iterator[pathlib.Path]:
    """Provide the path of a settings file."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, 'node.json')
        path.write_text(json.dumps(dict(SETTINGS_FIELDS)), encoding='utf-8')
        yield path


def test_a_hangup_while_the_program_is_loaded_ends_no_process() -> None:
    # Guards against a process that ends since its settings file changes in the
    # first moments after its start.
    handlers = []

    def load(_name: str) -> Any:
        handlers.append(signal.getsignal(signal.SIGHUP))
        return mock.Mock()

    with contextlib.ExitStack() as stack:
        previous = signal.getsignal(signal.SIGHUP)
        stack.callback(signal.signal, signal.SIGHUP, previous)
        stack.enter_context(mock.patch.object(gc, 'disable'))
        stack.enter_context(mock.patch.object(importlib, 'import_module', load))
        program.main()
    assert handlers == [signal.SIG_IGN]


def test_a_change_between_reading_and_watching_is_found(
    settings_path: pathlib.Path,
) -> None:
    settings = SettingsFile.read(settings_path)
    assert isinstance(settings, SettingsFile)
    front = settings.front_end()
    changed = {**SETTINGS_FIELDS, 'stop_s': 4.5}
    settings_path.write_text(json.dumps(changed), encoding='utf-8')
    loop, on_change = mock.Mock(), mock.Mock()
    FileWatcher(loop, front.settings_path, on_change, front.settings_stamp)
    interval_s, check = loop.call_later.call_args.args
    assert interval_s == CHECK_INTERVAL_S
    for _ in range(2):
        check()
    assert on_change.call_count == 1
    assert 'stop_s' in front.reload().changed
