"""An announcement is parsed completely, or all its errors are reported."""

import json
import types
from typing import Any

import msgpack
from hypothesis import example, given
from hypothesis import settings as profile
from hypothesis import strategies as st

from daisyline.protocol.announcements import read_announcement
from daisyline.state.failures import Finding
from daisyline.state.targets import Phase, Target
from tests.support import function_tests

load_tests = function_tests(__name__)

GOOD = types.MappingProxyType(
    {
        'service': 'docs',
        'version': 'v1',
        'instance': 'i-1',
        'host': '127.0.0.1',
        'port': 8000,
        'phase': 'cold',
    }
)
JSON = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(),
        st.floats(),
        st.text(max_size=4),
        st.sampled_from(('::1', '10.0.0.1', 'ready', '\ud800', '\n')),
    ),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(max_size=3), inner, max_size=3),
    ),
    max_leaves=8,
)


@profile(derandomize=True, max_examples=300, deadline=None)
@given(field=st.sampled_from(sorted(GOOD)), content=JSON)
@example(field='host', content=2130706433)
@example(field='host', content='::1')
@example(field='service', content='\ud800')
def test_any_json_is_a_usable_target_or_findings(
    field: str, content: Any
) -> None:
    parsed = read_announcement(json.dumps({**GOOD, field: content}).encode())
    if isinstance(parsed, Target):
        assert parsed.host.count('.') == 3
        assert isinstance(parsed.host, str)
        assert repr(parsed.port).isdigit()
        assert msgpack.packb(
            (parsed.service, parsed.version, parsed.instance, parsed.host)
        )
    else:
        assert [finding.path for finding in parsed] == [field]


@profile(derandomize=True, max_examples=100, deadline=None)
@given(body=st.binary(max_size=30))
@example(body=b'[' * 100_000)
@example(body=b'1' * 5000)
def test_arbitrary_bytes_never_raise(body: bytes) -> None:
    parsed = read_announcement(body)
    assert all(isinstance(finding, Finding) for finding in parsed)


def test_all_errors_of_an_announcement_are_reported() -> None:
    parsed = read_announcement(b'{"port": 0, "phase": "x"}')
    assert isinstance(parsed, list)
    assert {finding.path for finding in parsed} == set(GOOD)


def test_a_target_without_a_phase_is_ready() -> None:
    content = {name: GOOD[name] for name in GOOD if name != 'phase'}
    parsed = read_announcement(json.dumps(content).encode())
    assert isinstance(parsed, Target)
    assert parsed.phase is Phase.READY
