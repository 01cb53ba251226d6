"""Commands that read and change the settings: config, zone and rollout."""

import json
import pathlib
import uuid
from typing import Annotated, Any

from cyclopts import App, Parameter

from daisyline.coordination.effects import PlatformRead
from daisyline.coordination.settings.settings_intents import (
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

GENERATED_ID_LENGTH = 8

_STATE_COLUMNS = ('wanted', 'stands', 'share', 'why')
_VERSION = 'version'
_TREE = 'tree'

config = App(name='config', help='Read and change the settings.')
zone = App(name='zone', help='Take a zone out of service and bring it back.')
rollout = App(name='rollout', help='Move a service to a new version.')


@config.command
def check(file: pathlib.Path, *, common: CommonFlags = DEFAULT_FLAGS) -> int:
    """Check a settings file, without access to the platform."""
    tree, _ = _read_tree(file)
    findings = check_tree(tree)
    if common.as_json:
        print_json(
            [
                {'place': finding.path, 'problem': finding.problem}
                for finding in findings
            ]
        )
        return ExitCode.USAGE if findings else ExitCode.DONE
    if findings:
        raise findings_error(findings)
    print_line('The settings are valid.')
    return ExitCode.DONE


@config.command
def show(
    *,
    effective: Annotated[str, Parameter(name='--effective')] = '',
    common: CommonFlags = DEFAULT_FLAGS,
) -> int:
    """Show the settings and version in the format that config apply reads.

    Args:
        effective: Show instead the limits that apply to SERVICE,
            SERVICE/ZONE or services.SERVICE.zones.ZONE, and where each is
            set.
        common: Flags of every command.
    """
    stored = read_stored_settings(common)
    if not effective:
        print_json({_VERSION: stored.version, _TREE: stored.tree})
        return ExitCode.DONE
    service, zone_name = _service_and_zone(effective, stored.tree)
    settings = Settings.from_tree(stored.version, stored.tree)
    limits = settings.effective(service, zone_name)
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
    """Apply an edited copy of the settings.

    Args:
        file: An edited copy of the output of config show.
        whole: Replace all settings, including changes that others made
            since the copy.
        common: Flags of every command.
    """
    tree, version = _read_tree(file)
    findings = check_tree(tree)
    if findings:
        raise findings_error(findings)
    if version is None and not whole and read_stored_settings(common).version:
        raise usage_error(
            'the file has no version: edit a copy from config show, '
            'or replace all settings with --whole'
        )
    intent = PutTree(canonical(tree), None if whole else version)
    return make_change(common, intent)


@config.command
def diff(file: pathlib.Path, *, common: CommonFlags = DEFAULT_FLAGS) -> int:
    """Show how a file differs from the settings on the platform."""
    tree, _ = _read_tree(file)
    findings = check_tree(tree)
    if findings:
        raise findings_error(findings)
    edits = edits_between(read_stored_settings(common).tree, canonical(tree))
    if common.as_json:
        print_json([edit.to_fields() for edit in edits])
    else:
        for edit in edits:
            print_line(_format_edit(edit))
    return ExitCode.DONE


@config.command
def history(*, common: CommonFlags = DEFAULT_FLAGS) -> int:
    """Show the latest changes, newest first."""
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
    """Take a zone out of service: it gets no new calls."""
    return make_change(common, SetZone(name, 'out'))


@zone.command(name='in')
def bring_in(name: str, /, *, common: CommonFlags = DEFAULT_FLAGS) -> int:
    """Bring a zone back; its share of calls grows over zone_return_ms."""
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
    """Start a rollout, which moves a service's calls to a new version.

    Args:
        service: The service.
        old: The current version.
        new: The version that replaces it.
        finish_in_s: Seconds within which the rollout has to finish.
        name: The rollout's id; generated if not given.
        replace: Replace a rollout of the service that has not finished.
        common: Flags of every command.
    """
    generated_id = uuid.uuid4().hex[:GENERATED_ID_LENGTH]
    plan = RolloutPlan(
        service, name or f'{new}-{generated_id}', old, new, finish_in_s
    )
    replace = replace or _is_rollout_over(common, service)
    return make_change(common, StartRollout(plan, replace))


@rollout.command
def stop(service: str, /, *, common: CommonFlags = DEFAULT_FLAGS) -> int:
    """Stop a rollout: its new version gets no further calls."""
    return make_change(common, StopRollout(service))


@rollout.command(name='status')
def rollout_status(
    service: str = '', /, *, common: CommonFlags = DEFAULT_FLAGS
) -> int:
    """Show the wanted and the current state of rollouts."""
    plans = read_stored_settings(common).tree['rollouts']
    rows = [
        _rollout_row(common, name, plan)
        for name, plan in sorted(plans.items())
        if service in ('', name)
    ]
    if common.as_json:
        print_json(rows)
    else:
        names = ('service', 'id', 'old', 'new', *_STATE_COLUMNS)
        head = [name.upper() for name in names]
        print_table(head, ([row[name] for name in names] for row in rows))
    return ExitCode.DONE


def _rollout_row(
    common: CommonFlags, service: str, plan: Any
) -> dict[str, Any]:
    state = _read_rollout_state(common, service)
    if state.get('id') != plan['id']:
        state = {}
    return {
        'service': service,
        **plan,
        'wanted': plan.get('state', 'moving'),
        'stands': state.get('state', 'not yet known'),
        'share': state.get('share', ''),
        'why': state.get('why', ''),
    }


def _read_rollout_state(common: CommonFlags, service: str) -> dict[str, Any]:
    """Return the state of a rollout as nodes store it on the platform."""
    effect = PlatformRead('', 'rollouts', service)
    reply = operator_client.read_object(common.platform_url, effect)
    return reply.content if isinstance(reply.content, dict) else {}


def _is_rollout_over(common: CommonFlags, service: str) -> bool:
    """Return whether the service's rollout is done or rolled back."""
    path = ('rollouts', service, 'id')
    planned_id = value_at(read_stored_settings(common).tree, path)
    state = _read_rollout_state(common, service)
    ended = state.get('state') in {Stage.DONE, Stage.ROLLED_BACK}
    return ended and state.get('id') == planned_id


def _read_tree(file: pathlib.Path) -> tuple[Any, int | None]:
    """Read a settings tree from a file.

    Returns:
        The tree, and the version that it was copied from, which is None if
        the file holds the tree only.

    Raises:
        UserError: If the file can't be read, is not JSON or has a version that
            is not a whole number.
    """
    try:
        content = json.loads(file.read_text(encoding='utf-8'))
    except OSError as error:
        raise usage_error(f'{file}: {error.strerror}') from None
    except (ValueError, RecursionError) as error:
        raise usage_error(f'{file}: not valid JSON: {error}') from None
    if not isinstance(content, dict) or _TREE not in content:
        return content, None
    if _VERSION not in content:
        return content[_TREE], None
    version = content[_VERSION]
    if isinstance(version, int) and not isinstance(version, bool):
        return content[_TREE], version
    raise usage_error(
        f'{file}: version: {format_value(version)} is not a whole number'
    )


def _service_and_zone(path: str, tree: dict[str, Any]) -> tuple[str, str]:
    """Parse a path as a service and a zone, either of which may be empty.

    Raises:
        UserError: If the tree has no such service or zone.
    """
    names = path.removeprefix('services.').replace('.zones.', '/')
    service, _, zone_name = names.partition('/')
    for kind, name in (('services', service), ('zones', zone_name)):
        if name and name not in tree[kind]:
            known = ', '.join(tree[kind]) or 'none'
            raise usage_error(
                f'{path}: {name} is not in {kind}, which has {known}'
            )
    return service, zone_name


def _format_edit(edit: Edit) -> str:
    old = 'nothing' if edit.old is ABSENT else json.dumps(edit.old)
    new = 'nothing' if edit.new is ABSENT else json.dumps(edit.new)
    return f'{edit.name}: {old} -> {new}'
