"""The settings file is parsed completely, or all its errors are reported."""

import json
import math
import pathlib
import re
from typing import Any

import attrs

from daisyline.coordination.settings.order_reading import ROLLOUTS_KIND
from daisyline.platform.boot import Boot
from daisyline.platform.front import front_end
from daisyline.state.failures import Finding
from tests.platform.fixtures import HOST, SETTINGS_FIELDS
from tests.support import function_tests

load_tests = function_tests(__name__)

MISSING = object()
_ROOT = pathlib.Path(__file__).resolve().parents[2]


def test_addresses_and_ports_are_parsed(boot: Boot) -> None:
    assert boot.target == (HOST, 8145)
    assert boot.callers_port == 8147
    assert (boot.target_host, boot.target_port) == (HOST, 8144)
    assert boot.ready_port == 8141
    assert boot.platform_address == ('10.200.1.7', 8142)


def test_all_errors_are_reported_at_once() -> None:
    malformed = {
        **SETTINGS_FIELDS,
        'callers': 'nowhere',
        'peers_port': 0,
        'zones': [],
    }
    malformed.pop('service')
    findings = Boot.from_text(json.dumps(malformed))
    assert isinstance(findings, list)
    paths = {finding.path for finding in findings}
    assert paths == {'callers', 'peers_port', 'zones', 'service'}


def test_a_value_that_the_platform_left_out_is_an_error() -> None:
    parsed = Boot.from_text('{"name": }')
    assert isinstance(parsed, list)
    assert isinstance(parsed[0], Finding)


OPTIONAL = tuple(
    field.name
    for field in attrs.fields(Boot)
    if field.default is not attrs.NOTHING
)
REQUIRED = tuple(
    field.name for field in attrs.fields(Boot) if field.default is attrs.NOTHING
)
TEXTS = frozenset(('name', 'zone', 'region', 'host', 'service'))


def _parse(**changes: Any) -> Boot | list[Finding]:
    """Parse settings with some changed; `MISSING` removes one."""
    fields = {**SETTINGS_FIELDS, **changes}
    present = {
        name: setting
        for name, setting in fields.items()
        if setting is not MISSING
    }
    return Boot.from_text(json.dumps(present))


def test_each_optional_setting_may_be_missing_or_null() -> None:
    for name in OPTIONAL:
        default = attrs.fields_dict(Boot)[name].default
        for absent in (MISSING, None):
            parsed = _parse(**{name: absent})
            assert isinstance(parsed, Boot), (name, parsed)
            assert getattr(parsed, name) == default


def test_all_optional_settings_may_be_missing_at_once() -> None:
    for absent in (MISSING, None):
        parsed = _parse(**dict.fromkeys(OPTIONAL, absent))
        assert isinstance(parsed, Boot), parsed


def test_an_optional_setting_may_be_text_without_a_value() -> None:
    for name in OPTIONAL:
        default = attrs.fields_dict(Boot)[name].default
        for text in ('', '{{limits.unknown}}'):
            parsed = _parse(**{name: text})
            assert isinstance(parsed, Boot), (name, parsed)
            assert getattr(parsed, name) == default


def test_optional_numbers_and_booleans_may_be_text() -> None:
    parsed = _parse(memory_mb='300', duty_fenced='false', usage_late_s='2.5')
    assert isinstance(parsed, Boot), parsed
    assert (parsed.memory_mb, parsed.usage_late_s) == (300, 2.5)
    assert not parsed.duty_fenced


def test_all_missing_required_settings_are_reported_at_once() -> None:
    for absent in (MISSING, None):
        findings = _parse(**dict.fromkeys(REQUIRED, absent))
        assert isinstance(findings, list)
        assert {finding.path for finding in findings} == set(REQUIRED)


def test_a_setting_of_another_type_is_reported() -> None:
    for name in (*REQUIRED, *OPTIONAL):
        for wrong in ([], [1], {'': 1}, '' if name in TEXTS else 'text'):
            parsed = _parse(**{name: wrong})
            assert isinstance(parsed, list), (name, wrong)
            assert [finding.path for finding in parsed] == [name]


def test_unknown_settings_are_ignored() -> None:
    parsed = _parse(unheard_of=1, nested={'a': [None]})
    assert parsed == _parse()


def test_numbers_that_cannot_be_used_are_reported() -> None:
    for name in ('heartbeat_s', 'stop_s', 'usage_window_s', 'memory_mb'):
        for wrong in (0, -1, math.inf, math.nan, 1e300):
            parsed = _parse(**{name: wrong})
            assert isinstance(parsed, list), (name, wrong)


def test_a_node_without_rollouts_does_not_read_their_orders() -> None:
    guarded, unguarded = _parse(), _parse(exposed_share=None)
    assert isinstance(guarded, Boot)
    assert isinstance(unguarded, Boot)
    assert ROLLOUTS_KIND in front_end(guarded).read_config.kinds
    assert ROLLOUTS_KIND not in front_end(unguarded).read_config.kinds


def test_the_template_fills_every_field_and_no_other() -> None:
    text = (_ROOT / 'deploy' / 'node.json').read_text(encoding='utf-8')
    names = set(re.findall(r'^  "([a-z_]+)":', text, flags=re.MULTILINE))
    assert names == {field.name for field in attrs.fields(Boot)}
