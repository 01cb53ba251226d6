"""Names that leave the process are those that the page lists.

The program writes some names of classes and fields into messages, logs,
settings and stored data, so that renaming one affects callers, operators,
stored data or nodes of another build.
"""

import ast
import enum
import inspect
import pathlib
import re
from collections.abc import Iterator
from typing import Any

import attrs

from daisyline.coordination import events
from daisyline.coordination.calls import crash_history, quarantine
from daisyline.coordination.duties import duty_record
from daisyline.coordination.membership import gossip_records, seeds
from daisyline.coordination.rollouts import evidence_messages, rollout_record
from daisyline.coordination.settings import order_reading, reader_role
from daisyline.platform import boot, kinds
from daisyline.programs import node_settings, operator
from daisyline.protocol import frames
from daisyline.state import (
    departures,
    facts,
    failures,
    fleet_status,
    limits,
    members,
    rollout_plan,
    rollout_state,
    targets,
)
from standins import (
    platform,
    relay_model,
    soak_schedule,
    tally,
    target_plan,
    target_records,
)
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)

ROOT = pathlib.Path(__file__).resolve().parent.parent
REFLECTED = '## Written out by reflection'
AS_TEXT = '## Written as text'

Sections = dict[str, list[str]]


@fixture
def listed() -> Iterator[Sections]:
    """Provide the entries of the page's first part, by heading."""
    yield _sections(REFLECTED)


@fixture
def listed_texts() -> Iterator[Sections]:
    """Provide the names of the page's second part, by folder."""
    folders: Sections = {}
    for heading, rows in _sections(AS_TEXT).items():
        folder = heading.partition(':')[0]
        folders.setdefault(folder, []).extend(' '.join(rows).split())
    yield folders


def _sections(part_heading: str) -> Sections:
    text = (ROOT / 'docs' / 'external-names.md').read_text(encoding='utf-8')
    part = text.partition(part_heading)[2].partition('\n## ')[0]
    sections: Sections = {}
    for line in part.splitlines():
        if line.startswith('### '):
            heading = line.removeprefix('### ')
            sections[heading] = []
        elif line.startswith('    '):
            sections[heading].append(line.strip())
    return sections


def _texts_in(folder: str) -> str:
    """Return the string constants in a folder's modules, one a line."""
    texts = []
    for module in (ROOT / folder).rglob('*.py'):
        tree = ast.parse(module.read_text(encoding='utf-8'))
        for node in ast.walk(tree):
            if isinstance(node, ast.Constant):
                texts.append(_as_text(node.value))
    return '\n'.join(texts)


def _occurs_in(text: str, name: str) -> bool:
    end = r'(?!\w)' if name[-1].isalnum() else ''
    return re.search(rf'(?<!\w){re.escape(name)}{end}', text) is not None


def _as_text(constant: Any) -> str:
    if isinstance(constant, bytes):
        return constant.decode('latin-1')
    return constant if isinstance(constant, str) else ''


def _fields(kind: Any) -> str:
    return ' '.join(field.name for field in attrs.fields(kind))


def _types(kind: Any) -> str:
    """Return the types of the fields in order; their names do not matter."""
    attrs.resolve_types(kind)
    return ' '.join(_type_name(field.type) for field in attrs.fields(kind))


def _type_name(kind: Any) -> str:
    """Return a type's name, or `choice` for an enumeration.

    The names of the package's own classes may change.
    """
    if inspect.isclass(kind) and issubclass(kind, enum.Enum):
        return 'choice'
    return getattr(kind, '__name__', str(kind))


def _frame(kind: Any, shape: Any) -> str:
    described = _types(kind) if shape.types else str(len(attrs.fields(kind)))
    return f'{shape.tag}: {described}'


def _choices(kind: type[enum.Enum]) -> str:
    return ' '.join(str(choice.value) for choice in kind)


def _event_kinds() -> list[type[events.Event]]:
    return sorted(
        (
            kind
            for _, kind in inspect.getmembers(events, inspect.isclass)
            if issubclass(kind, events.Event) and kind is not events.Event
        ),
        key=lambda kind: kind.__name__,
    )


def _event(kind: type[events.Event]) -> str:
    what = (inspect.getdoc(kind) or '').partition('\n')[0]
    return f'{kind.__name__}: {_fields(kind)} | {what}'


def _fault_kinds() -> list[str]:
    # A seed of a soak selects kinds by this order.
    return [
        f'{kind.__name__}: {_fields(kind)}'.strip()
        for kind in soak_schedule.KINDS
    ]


def _commands() -> list[str]:
    """Return each operators' command with its flags."""
    found = []
    pending = [((), operator.command_line())]
    while pending:
        names, app = pending.pop()
        pending.extend(
            ((*names, name), app[name])
            for name in app
            if not name.startswith('-')
        )
        if app.default_command is not None:
            command = ' '.join(names)
            flags = ' '.join(_flags_of(app))
            found.append(f'{command}: {flags}')
    return sorted(found)


def _flags_of(app: Any) -> list[str]:
    """Return a command's flags, without `*`, which only groups others."""
    arguments = app.assemble_argument_collection().filter_by(parse=True)
    flags = {flag for argument in arguments for flag in argument.names}
    return sorted(flags - {'*'})


def _node_flags() -> list[str]:
    rows = []
    for field in attrs.fields(node_settings.NodeSettings):
        dashed = field.name.replace('_', '-')
        upper = field.name.upper()
        rows.append(f'--{dashed} {node_settings.ENV_PREFIX}{upper}')
    return rows


def _kinds_of_objects() -> list[str]:
    names = (
        reader_role.SETTINGS_KIND,
        order_reading.ZONES_KIND,
        order_reading.ROLLOUTS_KIND,
        rollout_record.OBJECT_KIND,
        departures.DEPARTURES_KIND,
        seeds.SEEDS_KIND,
        duty_record.OBJECT_KIND,
    )
    return sorted(names)


def _check(listed: Sections, heading: str, names: list[str]) -> None:
    assert listed[heading] == names, '\n'.join((heading, *names))


def test_events_keep_their_kinds_fields_and_sentences(
    listed: Sections,
) -> None:
    _check(listed, 'Events', [_event(kind) for kind in _event_kinds()])


def test_frames_keep_their_tags_and_the_order_of_their_fields(
    listed: Sections,
) -> None:
    shapes = frames._formats()
    rows = [_frame(kind, shape) for kind, shape in shapes.items()]
    _check(listed, 'Frames between nodes', rows)


def test_records_inside_frames_keep_the_number_of_their_fields(
    listed: Sections,
) -> None:
    rows = [
        str(len(attrs.fields(kind)))
        for kind in (
            gossip_records.MemberRecord,
            gossip_records.FactRecord,
            gossip_records.Stamp,
            gossip_records.Summary,
            gossip_records.MemberStateNotice,
            members.Member,
            facts.Fact,
            evidence_messages.EvidenceRow,
        )
    ]
    rows.append(_choices(gossip_records.MemberState))
    _check(listed, 'Records inside frames', rows)


def test_facts_keep_their_kinds_and_the_number_of_their_fields(
    listed: Sections,
) -> None:
    payload = departures.departure_fact(('i-1', 1)).payload
    departed = ' '.join(_type_name(type(field)) for field in payload)
    rows = [
        f'{rollout_state.FACT_KIND}: {_types(rollout_state.RolloutState)}',
        f'{quarantine.FACT_KIND}: {_types(crash_history.CrashReport)}',
        f'{quarantine.RETRIALS_KIND}: {_types(crash_history.RetrialReport)}',
        f'{departures.DEPARTURE}: {departed}',
        f'{duty_record.FACT_KIND}: {_types(duty_record.DutyNotice)}',
    ]
    _check(listed, 'Facts', rows)


def test_values_of_enumerations_stay(listed: Sections) -> None:
    rows = [
        _choices(kind)
        for kind in (
            failures.Reason,
            failures.Outcome,
            targets.Phase,
            rollout_state.Stage,
            rollout_plan.PlanState,
        )
    ]
    _check(listed, 'Values', rows)


def test_settings_keep_their_names(listed: Sections) -> None:
    _check(listed, 'Limits', list(limits.LIMIT_NAMES))
    _check(
        listed,
        'Rollout plans',
        [field.name for field in attrs.fields(rollout_plan.RolloutPlan)],
    )


def test_kinds_of_objects_stay(listed: Sections) -> None:
    _check(listed, 'Kinds of objects', _kinds_of_objects())
    by_name: dict[str, Any] = kinds.kinds_of(Any)
    assert sorted(by_name) == _kinds_of_objects()
    paths = sorted(kind.path for kind in by_name.values())
    _check(listed, "Kinds of objects on the users' platform", paths)


def test_flags_and_variables_of_a_node_stay(listed: Sections) -> None:
    _check(listed, 'Flags and variables of daisyline-node', _node_flags())


def test_keys_of_the_settings_file_stay(listed: Sections) -> None:
    names = [field.name for field in attrs.fields(boot.Boot)]
    _check(listed, 'Keys of deploy/node.json', names)


def test_commands_of_operators_keep_their_flags(listed: Sections) -> None:
    _check(listed, 'Commands of daisyline', _commands())


def test_json_for_operators_keeps_its_fields(listed: Sections) -> None:
    rows = [
        _fields(kind)
        for kind in (
            fleet_status.FleetStatus,
            fleet_status.MemberStatus,
            fleet_status.RecordedEvent,
            rollout_state.RolloutStatus,
        )
    ]
    _check(listed, 'JSON for operators', rows)


def test_stand_ins_keep_their_faults_and_reports(listed: Sections) -> None:
    _check(listed, 'Faults of a soak, in its seeds', _fault_kinds())
    rows = [
        _fields(kind)
        for kind in (
            platform.PlatformFaults,
            relay_model.RelayFaults,
            target_plan.TargetFaults,
            target_records.CallRecord,
            target_records.Records,
            target_records.Violation,
        )
    ]
    _check(listed, 'Fields of stand-ins', rows)
    rows = [_choices(relay_model.ByteHandling), _choices(tally.Ending)]
    _check(listed, 'Values of stand-ins', rows)


def test_each_name_written_as_text_occurs_in_its_folder(
    listed_texts: Sections,
) -> None:
    assert listed_texts
    for folder, names in listed_texts.items():
        text = _texts_in(folder)
        absent = {name for name in names if not _occurs_in(text, name)}
        assert not absent, (folder, sorted(absent))
