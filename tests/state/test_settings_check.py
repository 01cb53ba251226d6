"""Every mistake in a tree is reported with its path, whatever the JSON is."""

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from daisyline.state.failures import Finding
from daisyline.state.settings import Settings
from daisyline.state.settings_check import MAX_FINDINGS, check_tree
from tests.support import function_tests

load_tests = function_tests(__name__)

KEYS = st.sampled_from(
    (
        'cluster',
        'defaults',
        'zones',
        'services',
        'tenants',
        'rollouts',
        'hosts',
        'region',
        'state',
        'slots_per_upstream',
        'repeatable_methods',
        'id',
        'old',
        'new',
        'ghent-a',
        'docs',
    )
) | st.text(max_size=3)
ANY_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=True)
    | st.text(max_size=4)
    | st.sampled_from(('in', 'out', 'docs')),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(KEYS, inner, max_size=5)
    ),
    max_leaves=20,
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(content=ANY_JSON)
def test_no_json_value_raises_and_each_finding_has_a_path(
    content: Any,
) -> None:
    findings = check_tree(content)
    assert all(finding.path and finding.problem for finding in findings)
    settings_or_findings = Settings.from_object(
        1, {'tree': content, 'changes': []}
    )
    assert isinstance(settings_or_findings, Settings) == (not findings)
    assert isinstance(Settings.from_object(1, content), (Settings, list))


@settings(derandomize=True, max_examples=100, deadline=None)
@given(changes=ANY_JSON)
def test_no_history_value_raises(changes: Any) -> None:
    content = {'tree': {'cluster': 'c'}, 'changes': changes}
    assert isinstance(Settings.from_object(1, content), (Settings, list))


def test_every_mistake_is_reported_at_once() -> None:
    findings = check_tree(
        {
            'cluster': '',
            'servces': {},
            'defaults': {'slots_per_upsteam': 3, 'queue_wait_ms': -1},
            'zones': {'ghent-a': {'region': 'fl', 'state': 'gone'}, 'b': {}},
            'services': {
                'Docs': {},
                'docs': {
                    'slots_per_upstream': True,
                    'hosts': ['docs.example', 'docs.example'],
                    'zones': {'gent-a': {}},
                },
                'shop': {'hosts': ['docs.example']},
            },
            'tenants': {'acme': {'weight': 0}},
            'rollouts': {
                'dcs': {'id': 'r', 'old': '1', 'new': '1', 'finish_in_s': 1.5}
            },
        }
    )
    problems = {finding.path: finding.problem for finding in findings}
    assert set(problems) == {
        'cluster',
        'servces',
        'defaults.slots_per_upsteam',
        'defaults.queue_wait_ms',
        'zones.ghent-a.state',
        'zones.b.region',
        'services.Docs',
        'services.docs.slots_per_upstream',
        'services.docs.hosts[1]',
        'services.docs.zones.gent-a',
        'services.shop.hosts',
        'tenants.acme.weight',
        'rollouts.dcs',
        'rollouts.dcs.finish_in_s',
        'rollouts.dcs.new',
    }
    assert 'services' in problems['servces']
    assert 'slots_per_upstream' in problems['defaults.slots_per_upsteam']
    assert 'from 0 to' in problems['defaults.queue_wait_ms']
    assert 'ghent-a' in problems['services.docs.zones.gent-a']


def test_findings_about_keys_show_neither_keys_nor_their_values() -> None:
    # Guards against a key that an operator wrote in place of its hash.
    secret = 'k-5f0c81d2'
    wrong: tuple[Any, ...] = (secret, [secret], {secret: 1}, [[secret]])
    for keys in wrong:
        tree = {'cluster': 'c', 'tenants': {'acme': {'keys': keys}}}
        findings = check_tree(tree)
        assert [one.path.split('[')[0] for one in findings] == [
            'tenants.acme.keys'
        ]
        assert secret not in ' '.join(map(str, findings))
    for tenants in (secret, {'acme': secret}):
        findings = check_tree({'cluster': 'c', 'tenants': tenants})
        assert secret not in ' '.join(map(str, findings))


def test_the_number_of_findings_is_bounded() -> None:
    findings = check_tree({str(number): 1 for number in range(5000)})
    assert len(findings) == MAX_FINDINGS
    assert all(isinstance(finding, Finding) for finding in findings)
