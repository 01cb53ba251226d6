"""The folder of a test's logs outlasts the test only if it fails."""

import contextlib
import io
import pathlib
import shutil

from tests.fixtures import kept_on_failure
from tests.support import function_tests

load_tests = function_tests(__name__)


def test_the_folder_of_the_logs_is_kept_and_printed_on_failure_only() -> None:
    # Guards against failures that cannot be traced, as their logs are gone.
    printed = io.StringIO()
    with contextlib.redirect_stderr(printed):
        ended_well = _run(fails=False)
        assert not printed.getvalue()
        failed = _run(fails=True)
    assert not ended_well.parent.exists()
    assert str(failed.parent) in printed.getvalue()
    assert failed.exists()
    shutil.rmtree(failed.parent)


def _run(*, fails: bool) -> pathlib.Path:
    """Run a test that writes a log; return the path of the log."""
    with contextlib.suppress(AssertionError), kept_on_failure() as folder:
        log = pathlib.Path(folder, 'node.log')
        log.touch()
        assert not fails
    return log
