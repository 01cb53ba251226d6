"""The settings file is read whole, or every mistake in it is named."""

import json
import pathlib
import re

import attrs

from daisyline.platform.boot import Boot
from daisyline.state.failures import Finding
from tests.platform.fixtures import HOST, SAID
from tests.support import function_tests

load_tests = function_tests(__name__)

_ROOT = pathlib.Path(__file__).resolve().parents[2]


def test_addresses_and_ports_are_taken_apart(boot: Boot) -> None:
    assert boot.target == (HOST, 8145)
    assert boot.callers_port == 8147
    assert (boot.target_host, boot.target_port) == (HOST, 8144)
    assert boot.ready_port == 8141
    assert boot.platform_address == ('10.200.1.7', 8142)


def test_every_mistake_is_named_at_once() -> None:
    wrong = {**SAID, 'callers': 'nowhere', 'peers_port': 0, 'zones': []}
    wrong.pop('service')
    findings = Boot.from_text(json.dumps(wrong))
    assert isinstance(findings, list)
    places = {finding.path for finding in findings}
    assert places == {'callers', 'peers_port', 'zones', 'service'}


def test_a_value_that_the_platform_left_out_is_a_mistake() -> None:
    read = Boot.from_text('{"name": }')
    assert isinstance(read, list)
    assert isinstance(read[0], Finding)


def test_the_template_fills_every_field_and_no_other() -> None:
    text = (_ROOT / 'deploy' / 'node.json').read_text(encoding='utf-8')
    names = set(re.findall(r'^  "([a-z_]+)":', text, flags=re.MULTILINE))
    assert names == {field.name for field in attrs.fields(Boot)}
