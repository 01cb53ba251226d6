"""Carry out a change of the settings and wait until it is in force."""

import datetime
import functools
import random
import time
import uuid
from typing import Any

from daisyline.coordination.effects import (
    PlatformRead,
    PlatformReply,
    PlatformWrite,
)
from daisyline.coordination.settings_change import SettingsChange
from daisyline.coordination.settings_propagation import SettingsPropagation
from daisyline.coordination.settings_results import (
    Applied,
    Author,
    Pause,
    Resume,
    Unchanged,
)
from daisyline.programs.operator_context import CommonFlags, read_status
from daisyline.programs.operator_errors import (
    ExitCode,
    UserError,
    error_from_result,
)
from daisyline.programs.operator_output import (
    print_json,
    print_line,
    print_progress,
)
from daisyline.transport import operator_client

PLATFORM_TIMEOUT_S = 20.0
MAX_NAMED_NODES = 10


def make_change(common: CommonFlags, intent: Any) -> int:
    """Make a change, wait until it is in force, and say so.

    Raises:
        UserError: If it was not made, or is not in force in time.
    """
    # A wrong flag has to be found before anything is written.
    max_wait_s = common.max_wait_s
    urls = common.node_urls if common.nodes else []
    result = _carried_out(common, intent)
    error = error_from_result(result)
    if error is not None:
        raise error
    _tell(common, result)
    if urls and max_wait_s > 0:
        _wait(common, result.version)
    elif not urls:
        print_progress('Not waited until it is in force: no --nodes given.')
    return ExitCode.DONE


def now_in_utc() -> str:
    """Return the time of day for the history."""
    return datetime.datetime.now(datetime.UTC).isoformat(timespec='seconds')


def _carried_out(common: CommonFlags, intent: Any) -> Any:
    author = Author(str(uuid.uuid4()), common.author, now_in_utc())
    give_up_at = time.monotonic() + PLATFORM_TIMEOUT_S
    change = SettingsChange.from_config(
        intent, author, give_up_at, random.Random()
    )
    url = common.platform_url
    effects = change.start()
    while effects:
        event = _carry_out(effects[0], url)
        effects = change.handle(event, time.monotonic())
    return change.result


@functools.singledispatch
def _carry_out(effect: Any, url: str) -> Any:
    """Carry out one effect and return the event that it leads to."""
    raise TypeError(effect)


@_carry_out.register
def _read(effect: PlatformRead, url: str) -> PlatformReply:
    return operator_client.read_object(url, effect)


@_carry_out.register
def _write(effect: PlatformWrite, url: str) -> PlatformReply:
    return operator_client.write_object(url, effect)


@_carry_out.register
def _pause(effect: Pause, url: str) -> Resume:
    print_progress(effect.why)
    time.sleep(effect.seconds)
    return Resume()


def _tell(common: CommonFlags, result: Applied | Unchanged) -> None:
    edits = result.edits if isinstance(result, Applied) else ()
    if common.as_json:
        places = [edit.name for edit in edits]
        print_json({'version': result.version, 'edited': places})
        return
    for edit in edits:
        print_line(f'edited {edit.name}')
    if isinstance(result, Unchanged):
        print_line(
            f'Already so at version {result.version}, nothing was written.'
        )
    else:
        print_line(f'Accepted as version {result.version}.')


def _wait(common: CommonFlags, version: int) -> None:
    """Wait until every node holds a version.

    Raises:
        UserError: If some lack it after the time to wait.
    """
    spread = SettingsPropagation.from_config(
        version, common.max_wait_s, time.monotonic()
    )
    told = ''
    while not spread.is_complete:
        _observe(common, spread)
        pause_s = spread.next_poll_s(time.monotonic())
        if pause_s is None:
            break
        holding = spread.node_count - len(spread.outdated_nodes)
        news = f'In force on {holding} of {spread.node_count} nodes.'
        if news != told:
            print_progress(news)
        told = news
        time.sleep(pause_s)
    if not spread.is_complete:
        raise _not_in_force(spread)
    print_progress(f'In force on all {spread.node_count} nodes.')


def _observe(common: CommonFlags, spread: SettingsPropagation) -> None:
    """Ask the fleet once; the change is accepted, so a failure is no end."""
    try:
        spread.observe(read_status(common))
    except UserError as error:
        print_progress(' '.join(error.lines))


def _not_in_force(spread: SettingsPropagation) -> UserError:
    lacking = 'No node answers, so it is not known where it is in force.'
    if spread.has_answer:
        lacking = _lacking(spread)
    return UserError(
        (f'Version {spread.version} is accepted and spreads on.', lacking),
        ExitCode.NOT_IN_FORCE,
    )


def _lacking(spread: SettingsPropagation) -> str:
    names = ', '.join(spread.outdated_nodes[:MAX_NAMED_NODES])
    more = len(spread.outdated_nodes) - MAX_NAMED_NODES
    rest = f' and {more} more' if more > 0 else ''
    return f'Not yet in force on {names}{rest}.'
