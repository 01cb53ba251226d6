"""The settings file is parsed completely, or all its errors are reported."""

import json
import pathlib
import re

import attrs

from daisyline.platform.boot import Boot
from daisyline.state.failures import Finding
from tests.platform.fixtures import HOST, SETTINGS_FIELDS
from tests.support import function_tests

load_tests = function_tests(__name__)

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


def test_the_template_fills_every_field_and_no_other() -> None:
    text = (_ROOT / 'deploy' / 'node.json').read_text(encoding='utf-8')
    names = set(re.findall(r'^  "([a-z_]+)":', text, flags=re.MULTILINE))
    assert names == {field.name for field in attrs.fields(Boot)}
