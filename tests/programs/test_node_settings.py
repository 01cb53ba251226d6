"""Tests of the parsing of a node's flags and environment variables."""

import types

from hypothesis import given, settings
from hypothesis import strategies as st

from daisyline.programs.node_settings import NodeSettings, parse_node_settings
from daisyline.state.failures import Finding
from tests.support import function_tests

load_tests = function_tests(__name__)

ENV = types.MappingProxyType(
    {
        'DAISYLINE_NAME': 'node-1',
        'DAISYLINE_ZONE': 'ghent-a',
        'DAISYLINE_REGION': 'flanders',
        'DAISYLINE_HOST': '127.0.0.1',
        'DAISYLINE_PLATFORM': 'http://127.0.0.1:9000',
    }
)


def test_a_flag_overrides_its_variable() -> None:
    parsed = parse_node_settings(['--zone', 'ghent-b', '--log-json'], ENV)
    assert isinstance(parsed, NodeSettings)
    assert parsed.zone == 'ghent-b'
    assert parsed.log_json
    assert parsed.platform_address == ('127.0.0.1', 9000)


def test_peers_are_addresses_separated_by_commas() -> None:
    parsed = parse_node_settings(['--peers', '10.0.0.1:7400, [::1]:7401'], ENV)
    assert isinstance(parsed, NodeSettings)
    assert parsed.peers == (('10.0.0.1', 7400), ('::1', 7401))
    for invalid in ('shop:1', '10.0.0.1', '10.0.0.1:0', '10.0.0.1:7/x', ':1'):
        findings = parse_node_settings(['--peers', invalid], ENV)
        assert isinstance(findings, list), invalid
        assert findings[0].path == '--peers'


def test_all_mistakes_are_reported_together() -> None:
    findings = parse_node_settings(
        ['--zoen', 'x', '--peers-port', '70000', '--host', 'here', '--name'],
        {
            'DAISYLINE_LOG_LEVEL': 'loud',
            'DAISYLINE_LOG_JSON': 'maybe',
            'DAISYLINE_PLATFORM': 'https://store',
            'DAISYLINE_CALLERS_PORT': '7402',
        },
    )
    assert isinstance(findings, list)
    assert {finding.path for finding in findings} == {
        'x',
        '--zoen',
        '--peers-port',
        '--host',
        '--name',
        '--log-level',
        '--log-json',
        '--platform',
        '--operators-port',
        '--zone',
        '--region',
    }


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    argv=st.lists(
        st.sampled_from(
            ('--name', '--port', '--log-json=x', '--', '-x', '', '--host=', 'é')
        )
        | st.text(max_size=4),
        max_size=5,
    ),
    port=st.text(max_size=4),
)
def test_no_command_line_raises(argv: list[str], port: str) -> None:
    parsed = parse_node_settings(argv, {**ENV, 'DAISYLINE_PEERS_PORT': port})
    if isinstance(parsed, list):
        assert all(
            isinstance(finding, Finding) and finding.problem
            for finding in parsed
        )
    else:
        assert isinstance(parsed, NodeSettings)
