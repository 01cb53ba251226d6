"""An announcement is read whole, or each of its mistakes is named."""

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
@given(field=st.sampled_from(sorted(GOOD)), said=JSON)
@example(field='host', said=2130706433)
@example(field='host', said='::1')
@example(field='service', said='\ud800')
def test_any_json_is_a_usable_target_or_findings(field: str, said: Any) -> None:
    came = read_announcement(json.dumps({**GOOD, field: said}).encode())
    if isinstance(came, Target):
        assert came.host.count('.') == 3
        assert isinstance(came.host, str)
        assert repr(came.port).isdigit()
        assert msgpack.packb(
            (came.service, came.version, came.instance, came.host)
        )
    else:
        assert [finding.path for finding in came] == [field]


@profile(derandomize=True, max_examples=100, deadline=None)
@given(body=st.binary(max_size=30))
@example(body=b'[' * 100_000)
@example(body=b'1' * 5000)
def test_arbitrary_bytes_never_raise(body: bytes) -> None:
    came = read_announcement(body)
    assert all(isinstance(finding, Finding) for finding in came)


def test_each_mistake_is_named_in_one_go() -> None:
    came = read_announcement(b'{"port": 0, "phase": "x"}')
    assert isinstance(came, list)
    assert {finding.path for finding in came} == set(GOOD)


def test_a_target_that_names_no_phase_is_ready() -> None:
    said = {name: GOOD[name] for name in GOOD if name != 'phase'}
    came = read_announcement(json.dumps(said).encode())
    assert isinstance(came, Target)
    assert came.phase is Phase.READY
