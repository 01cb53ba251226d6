"""Make a change of the settings and wait until it is in force."""

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
from daisyline.coordination.settings.settings_change import SettingsChange
from daisyline.coordination.settings.settings_propagation import (
    SettingsPropagation,
)
from daisyline.coordination.settings.settings_results import (
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
from daisyline.state.store_time import StoreTime
from daisyline.transport import operator_client

PLATFORM_TIMEOUT_S = 20.0
MAX_NAMED_NODES = 10


def make_change(common: CommonFlags, intent: Any) -> int:
    """Make a change, print the result and wait until it is in force.

    Raises:
        UserError: If the change was not made or is not in force in time.
    """
    # Flags are checked before anything is written.
    max_wait_s = common.max_wait_s
    urls = common.node_urls if common.nodes else []
    result, era = _run_change(common, intent)
    error = error_from_result(result)
    if error is not None:
        raise error
    _print_result(common, result)
    if urls and max_wait_s > 0:
        _wait_until_in_force(common, StoreTime(era, result.version))
    elif not urls:
        print_progress(
            'Not waiting until it is in force, as --nodes is not given.'
        )
    return ExitCode.DONE


def now_in_utc() -> str:
    """Return the current time in UTC, in the history's ISO 8601 form."""
    return datetime.datetime.now(datetime.UTC).isoformat(timespec='seconds')


def _run_change(common: CommonFlags, intent: Any) -> tuple[Any, int]:
    """Make a change; return its result and the era of the platform's store."""
    author = Author(str(uuid.uuid4()), common.author, now_in_utc())
    deadline = time.monotonic() + PLATFORM_TIMEOUT_S
    change = SettingsChange.from_config(
        intent, author, deadline, random.Random()
    )
    url = common.platform_url
    effects = change.start()
    era = 0
    while effects:
        event = _perform(effects[0], url)
        if isinstance(event, PlatformReply):
            era = event.era or era
        effects = change.handle(event, time.monotonic())
    return change.result, era


@functools.singledispatch
def _perform(effect: Any, url: str) -> Any:
    """Perform an effect and return the event that results from it.

    Raises:
        TypeError: If the effect is of an unknown kind.
    """
    raise TypeError(effect)


@_perform.register
def _read(effect: PlatformRead, url: str) -> PlatformReply:
    return operator_client.read_object(url, effect)


@_perform.register
def _write(effect: PlatformWrite, url: str) -> PlatformReply:
    return operator_client.write_object(url, effect)


@_perform.register
def _pause(effect: Pause, url: str) -> Resume:
    print_progress(effect.why)
    time.sleep(effect.seconds)
    return Resume()


def _print_result(common: CommonFlags, result: Applied | Unchanged) -> None:
    edits = result.edits if isinstance(result, Applied) else ()
    if common.as_json:
        names = [edit.name for edit in edits]
        print_json({'version': result.version, 'edited': names})
        return
    for edit in edits:
        print_line(f'edited {edit.name}')
    if isinstance(result, Unchanged):
        print_line(
            f'Version {result.version} has these settings already; '
            'nothing was written.'
        )
    else:
        print_line(f'Accepted as version {result.version}.')


def _wait_until_in_force(common: CommonFlags, version: StoreTime) -> None:
    """Wait until a version is in force on all nodes.

    Raises:
        UserError: If it is not within the time to wait.
    """
    propagation = SettingsPropagation.from_config(
        version.rank, common.max_wait_s, time.monotonic()
    )
    last_update = ''
    while not propagation.is_complete:
        _observe(common, propagation)
        pause_s = propagation.next_poll_s(time.monotonic())
        if pause_s is None:
            break
        updated_count = propagation.node_count - len(propagation.outdated_nodes)
        update = (
            f'In force on {updated_count} of {propagation.node_count} nodes.'
        )
        if update != last_update:
            print_progress(update)
        last_update = update
        time.sleep(pause_s)
    if not propagation.is_complete:
        raise _not_in_force_error(propagation)
    print_progress(f'In force on all {propagation.node_count} nodes.')


def _observe(common: CommonFlags, propagation: SettingsPropagation) -> None:
    """Query the fleet's status once.

    A failure is only printed, as the change is already accepted.
    """
    try:
        propagation.observe(read_status(common))
    except UserError as error:
        print_progress(' '.join(error.lines))


def _not_in_force_error(propagation: SettingsPropagation) -> UserError:
    problem = 'No node answers, so it is not known where it is in force.'
    if propagation.has_answer:
        problem = _describe_outdated_nodes(propagation)
    version = StoreTime.from_rank(propagation.version).revision
    return UserError(
        (
            f'Version {version} is accepted and still propagates.',
            problem,
        ),
        ExitCode.NOT_IN_FORCE,
    )


def _describe_outdated_nodes(propagation: SettingsPropagation) -> str:
    names = ', '.join(propagation.outdated_nodes[:MAX_NAMED_NODES])
    more = len(propagation.outdated_nodes) - MAX_NAMED_NODES
    rest = f' and {more} more' if more > 0 else ''
    return f'Not yet in force on {names}{rest}.'
