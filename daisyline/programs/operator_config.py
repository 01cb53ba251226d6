"""Commands on the settings: config, zone and rollout."""

import json
import pathlib
import uuid
from typing import Annotated, Any

from cyclopts import App, Parameter

from daisyline.coordination.effects import PlatformRead
from daisyline.coordination.settings_intents import (
    PutTree,
    SetZone,
    StartRollout,
    StopRollout,
)
from daisyline.programs.operator_context import (
    DEFAULT_FLAGS,
    CommonFlags,
    read_stored_settings,
)
from daisyline.programs.operator_errors import (
    ExitCode,
    findings_error,
    usage_error,
)
from daisyline.programs.operator_output import (
    print_json,
    print_line,
    print_table,
)
from daisyline.programs.operator_settings import make_change
from daisyline.state.rollout_plan import RolloutPlan
from daisyline.state.rollout_state import Stage
from daisyline.state.settings import Settings
from daisyline.state.settings_check import check_tree
from daisyline.state.settings_edits import (
    ABSENT,
    Edit,
    canonical,
    edits_between,
    value_at,
)
from daisyline.state.settings_rules import format_value
from daisyline.transport import operator_client

SHORT_ID = 8

_STANDING_NAMES = ('wanted', 'stands', 'share', 'why')
_VERSION = 'version'
_TREE = 'tree'

config = App(name='config', help='Read and change the settings.')
zone = App(name='zone', help='Take a zone out and back in.')
rollout = App(name='rollout', help='Move a service to a version.')


@config.command
def check(file: pathlib.Path, *, common: CommonFlags = DEFAULT_FLAGS) -> int:
    """Check a settings file; nothing is read from the platform."""
    tree, _ = _tree_in(file)
    found = check_tree(tree)
    if common.as_json:
        print_json(
            [{'place': one.path, 'problem': one.problem} for one in found]
        )
        return ExitCode.USAGE if found else ExitCode.DONE
    if found:
        raise findings_error(found)
    print_line('No mistakes.')
    return ExitCode.DONE


@config.command
def show(
    *,
    effective: Annotated[str, Parameter(name='--effective')] = '',
    common: CommonFlags = DEFAULT_FLAGS,
) -> int:
    """Show the settings with their version, to edit and apply.

    Args:
        effective: Show each limit and where it comes from instead, at
            SERVICE, SERVICE/ZONE or services.SERVICE.zones.ZONE.
        common: Flags of every command.
    """
    stored = read_stored_settings(common)
    if not effective:
        print_json({_VERSION: stored.version, _TREE: stored.tree})
        return ExitCode.DONE
    service, of_zone = _service_and_zone(effective, stored.tree)
    settings = Settings.from_tree(stored.version, stored.tree)
    limits = settings.effective(service, of_zone)
    if common.as_json:
        print_json(
            {
                limit.name: {'value': limit.content, 'from': limit.source_path}
                for limit in limits
            }
        )
    else:
        rows = [
            (limit.name, limit.content, limit.source_path) for limit in limits
        ]
        print_table(('LIMIT', 'VALUE', 'FROM'), rows)
    return ExitCode.DONE


@config.command
def apply(
    file: pathlib.Path,
    *,
    whole: bool = False,
    common: CommonFlags = DEFAULT_FLAGS,
) -> int:
    """Put an edited copy of the settings in force.

    Args:
        file: What config show gave, edited.
        whole: Put the file in place of everything, whatever was changed.
        common: Flags of every command.
    """
    tree, version = _tree_in(file)
    found = check_tree(tree)
    if found:
        raise findings_error(found)
    if version is None and not whole and read_stored_settings(common).version:
        raise usage_error(
            'the file names no version: edit a copy from config show, '
            'or put it in place of everything by --whole'
        )
    intent = PutTree(canonical(tree), None if whole else version)
    return make_change(common, intent)


@config.command
def diff(file: pathlib.Path, *, common: CommonFlags = DEFAULT_FLAGS) -> int:
    """Show how a file differs from the settings in the platform."""
    tree, _ = _tree_in(file)
    found = check_tree(tree)
    if found:
        raise findings_error(found)
    edits = edits_between(read_stored_settings(common).tree, canonical(tree))
    if common.as_json:
        print_json([edit.to_fields() for edit in edits])
    else:
        for edit in edits:
            print_line(_as_line(edit))
    return ExitCode.DONE


@config.command
def history(*, common: CommonFlags = DEFAULT_FLAGS) -> int:
    """Show the last changes, the newest first."""
    changes = reversed(read_stored_settings(common).changes)
    if common.as_json:
        print_json([change.to_fields() for change in changes])
    else:
        rows = [
            (change.at, change.by, change.base, change.what)
            for change in changes
        ]
        print_table(('AT', 'BY', 'MADE FROM', 'WHAT'), rows)
    return ExitCode.DONE


@zone.command
def out(name: str, /, *, common: CommonFlags = DEFAULT_FLAGS) -> int:
    """Take a zone out: it gets no new work."""
    return make_change(common, SetZone(name, 'out'))


@zone.command(name='in')
def bring_in(name: str, /, *, common: CommonFlags = DEFAULT_FLAGS) -> int:
    """Bring a zone back in; its share grows over zone_return_ms."""
    return make_change(common, SetZone(name, 'in'))


@rollout.command
def start(
    service: str,
    /,
    *,
    old: str,
    new: str,
    finish_in_s: int,
    name: Annotated[str, Parameter(name='--id')] = '',
    replace: bool = False,
    common: CommonFlags = DEFAULT_FLAGS,
) -> int:
    """Start to move a service's calls to a new version.

    Args:
        service: The service.
        old: The version that serves now.
        new: The version that is to take over.
        finish_in_s: Seconds until the move has to be done.
        name: The rollout's id; made up if not given.
        replace: Let it take the place of one that still moves.
        common: Flags of every command.
    """
    made_up = uuid.uuid4().hex[:SHORT_ID]
    plan = RolloutPlan(
        service, name or f'{new}-{made_up}', old, new, finish_in_s
    )
    replace = replace or _has_ended(common, service)
    return make_change(common, StartRollout(plan, replace))


@rollout.command
def stop(service: str, /, *, common: CommonFlags = DEFAULT_FLAGS) -> int:
    """Stop a rollout: its new version gets no calls any more."""
    return make_change(common, StopRollout(service))


@rollout.command(name='status')
def rollout_status(
    service: str = '', /, *, common: CommonFlags = DEFAULT_FLAGS
) -> int:
    """Show what operators want of rollouts and where each stands."""
    plans = read_stored_settings(common).tree['rollouts']
    rows = [
        _rollout_row(common, name, plan)
        for name, plan in sorted(plans.items())
        if service in ('', name)
    ]
    if common.as_json:
        print_json(rows)
    else:
        names = ('service', 'id', 'old', 'new', *_STANDING_NAMES)
        head = [name.upper() for name in names]
        print_table(head, ([row[name] for name in names] for row in rows))
    return ExitCode.DONE


def _rollout_row(
    common: CommonFlags, service: str, plan: Any
) -> dict[str, Any]:
    standing = _standing(common, service)
    if standing.get('id') != plan['id']:
        standing = {}
    return {
        'service': service,
        **plan,
        'wanted': plan.get('state', 'moving'),
        'stands': standing.get('state', 'not yet known'),
        'share': standing.get('share', ''),
        'why': standing.get('why', ''),
    }


def _standing(common: CommonFlags, service: str) -> dict[str, Any]:
    """Return the object in which nodes write where a rollout stands."""
    effect = PlatformRead('', 'rollouts', service)
    reply = operator_client.read_object(common.platform_url, effect)
    return reply.content if isinstance(reply.content, dict) else {}


def _has_ended(common: CommonFlags, service: str) -> bool:
    """Return whether the rollout in the settings is done or rolled back."""
    place = ('rollouts', service, 'id')
    wanted = value_at(read_stored_settings(common).tree, place)
    standing = _standing(common, service)
    ended = standing.get('state') in {Stage.DONE, Stage.ROLLED_BACK}
    return ended and standing.get('id') == wanted


def _tree_in(file: pathlib.Path) -> tuple[Any, int | None]:
    """Read a bare tree, or one with the version that it was taken from.

    Raises:
        UserError: If the file can't be read or is not JSON.
    """
    try:
        content = json.loads(file.read_text(encoding='utf-8'))
    except OSError as error:
        raise usage_error(f'{file}: {error.strerror}') from None
    except (ValueError, RecursionError) as error:
        raise usage_error(f'{file}: is not JSON: {error}') from None
    if not isinstance(content, dict) or _TREE not in content:
        return content, None
    if _VERSION not in content:
        return content[_TREE], None
    version = content[_VERSION]
    if isinstance(version, int) and not isinstance(version, bool):
        return content[_TREE], version
    raise usage_error(
        f'{file}: version: {format_value(version)} is no whole number'
    )


def _service_and_zone(place: str, tree: dict[str, Any]) -> tuple[str, str]:
    """Read a place as a service and a zone of the tree.

    Raises:
        UserError: If it names none.
    """
    words = place.removeprefix('services.').replace('.zones.', '/')
    service, _, of_zone = words.partition('/')
    for kind, name in (('services', service), ('zones', of_zone)):
        if name and name not in tree[kind]:
            known = ', '.join(tree[kind]) or 'none'
            raise usage_error(
                f'{place}: no {name} in {kind}; there are {known}'
            )
    return service, of_zone


def _as_line(edit: Edit) -> str:
    old = 'nothing' if edit.old is ABSENT else json.dumps(edit.old)
    new = 'nothing' if edit.new is ABSENT else json.dumps(edit.new)
    return f'{edit.name}: {old} -> {new}'
