"""A manifest is translated to a settings tree; an invalid one is refused."""

import copy
import json
import math
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from daisyline.platform.boot import Boot
from daisyline.platform.manifest import manifest_number, settings_tree
from daisyline.state.customers import Customer, hash_key
from daisyline.state.settings import Settings
from daisyline.state.settings_rules import child_path
from tests.platform.fixtures import MANIFEST, SETTINGS_FIELDS
from tests.support import function_tests

load_tests = function_tests(__name__)

SECRET = 'k-5f0c81d2'
CUSTOMERS = (
    {'name': 'hule930', 'apiKeys': [SECRET, SECRET, 'k-2'], 'priority': 0},
    {'name': 'fida11', 'apiKeys': ['k-3']},
)
PLAIN = st.one_of(
    st.none(), st.booleans(), st.integers(), st.floats(), st.text()
)
JSON = st.recursive(
    PLAIN,
    lambda inner: st.one_of(st.lists(inner), st.dictionaries(st.text(), inner)),
    max_leaves=8,
)


def _settings(manifest: Any, boot: Boot) -> Any:
    return Settings.from_object(7, {'tree': settings_tree(manifest, boot)})


def test_the_number_of_a_version_is_read_and_garbled_ones_are_none() -> None:
    assert manifest_number({'version': 'r47'}) == 47
    for version in ('47', 'r', 'r-1', 'r1.5', 'x47', 'r47 ', 47, None, ['r47']):
        assert manifest_number({'version': version}) == 0
    assert manifest_number([]) == 0


def test_routes_and_limits_are_translated_with_their_units(boot: Boot) -> None:
    parsed = _settings(dict(MANIFEST), boot)
    assert isinstance(parsed, Settings)
    order = parsed.routes.find('shop.example', b'/orders/1')
    assert order is not None
    assert not order.repeatable
    assert (order.deadline_ms, order.objective_ms) == (1500, 400)
    assert (order.targets, order.priority) == (2, 1)
    page = parsed.routes.find('shop.example', b'/pages/1')
    assert page is not None
    assert page.repeatable
    assert page.bulky
    assert dict(page.split) == {'shop': 90_000, 'docs': 10_000}
    limits = parsed.limits_for('shop', 'ghent-a')
    assert limits.connections_per_server == 220
    assert limits.cold_start_ms == 3000
    # Above the sustained rate and well below the contract's limit of 33.
    assert limits.cold_calls_per_s == 25
    assert limits.pace_path == '/health'
    assert limits.body_limit_bytes == 67108864


def test_a_route_to_an_unknown_service_is_an_error(boot: Boot) -> None:
    broken = copy.deepcopy(dict(MANIFEST))
    broken['routes'][0]['service'] = 'gone'
    findings = _settings(broken, boot)
    assert isinstance(findings, list)
    assert findings[0].path == 'routes.r-orders.services.gone'


def test_each_invalid_weight_of_a_split_is_reported_with_its_place(
    boot: Boot,
) -> None:
    invalid_weights = (math.nan, math.inf, 1.8e305, 10**400, -1, True, '1', [])
    for weight in invalid_weights:
        broken = copy.deepcopy(dict(MANIFEST))
        broken['routes'][1]['trafficSplit'][0]['weight'] = weight
        findings = _settings(broken, boot)
        assert isinstance(findings, list), weight
        assert findings[0].path == 'routes.r-pages.services.shop', weight


def test_a_split_without_a_positive_weight_is_an_error(boot: Boot) -> None:
    broken = copy.deepcopy(dict(MANIFEST))
    for share in broken['routes'][1]['trafficSplit']:
        share['weight'] = 0
    findings = _settings(broken, boot)
    assert isinstance(findings, list)
    assert findings[0].path == 'routes.r-pages.services'


def test_malformed_entries_are_reported_with_their_positions(
    boot: Boot,
) -> None:
    broken = copy.deepcopy(dict(MANIFEST))
    broken['routes'].append(5)
    broken['routes'][1]['trafficSplit'].append(7)
    position = len(broken['routes']) - 1
    findings = _settings(broken, boot)
    assert isinstance(findings, list)
    paths = {finding.path for finding in findings}
    assert f'routes.{position}' in paths
    assert 'routes.r-pages.services.2' in paths


def test_customers_are_translated_with_hashes_in_place_of_keys(
    boot: Boot,
) -> None:
    manifest = {**copy.deepcopy(dict(MANIFEST)), 'tenants': list(CUSTOMERS)}
    manifest['routes'][1]['authExempt'] = True
    tree = settings_tree(manifest, boot)
    assert SECRET not in json.dumps(tree)
    parsed = _settings(manifest, boot)
    assert isinstance(parsed, Settings)
    found = parsed.customers.find(hash_key(SECRET.encode()))
    assert found == Customer('hule930', 0)
    assert parsed.customers.find(hash_key(b'')) is None
    order = parsed.routes.find('shop.example', b'/orders/1')
    page = parsed.routes.find('shop.example', b'/pages/1')
    assert order is not None
    assert page is not None
    assert (order.key_exempt, page.key_exempt) == (False, True)


def test_customers_without_keys_left_still_require_keys(boot: Boot) -> None:
    # Guards against a withdrawal of the last key that lets all requests in.
    for keys in ([], None):
        listed = [{'name': 'hule930', 'apiKeys': keys}]
        parsed = _settings({**MANIFEST, 'tenants': listed}, boot)
        assert isinstance(parsed, Settings)
        assert parsed.customers.requires_keys
    for listed in ([], None):
        tree = settings_tree({**MANIFEST, 'tenants': listed}, boot)
        assert 'tenants' not in tree


def test_malformed_customers_are_findings_that_show_no_key(boot: Boot) -> None:
    # Guards against keys in the logs, wherever an operator puts one by mistake.
    hule = {'name': 'hule930', 'apiKeys': [SECRET]}
    cases: list[tuple[Any, str]] = [
        (SECRET, 'tenants'),
        ({SECRET: 'hule930'}, 'tenants'),
        ([SECRET], 'tenants[0]'),
        ([{'apiKeys': [SECRET]}], 'tenants[0].name'),
        ([{'name': [SECRET], 'apiKeys': []}], 'tenants[0].name'),
        ([hule, {**hule, 'apiKeys': ['other']}], 'tenants[1].name'),
        ([{**hule, 'apiKeys': SECRET}], 'tenants[0].apiKeys'),
        ([{**hule, 'apiKeys': {SECRET: 1}}], 'tenants[0].apiKeys'),
        ([{**hule, 'apiKeys': [[SECRET]]}], 'tenants[0].apiKeys[0]'),
        ([{**hule, 'apiKeys': [SECRET, '']}], 'tenants[0].apiKeys[1]'),
        ([{**hule, 'apiKeys': [7]}], 'tenants[0].apiKeys[0]'),
        ([{**hule, 'priority': SECRET}], 'tenants[0].priority'),
        ([{**hule, 'priority': True}], 'tenants[0].priority'),
        ([{**hule, 'priority': -1}], 'tenants.hule930.priority'),
        ([hule, {**hule, 'name': 'fida11'}], 'tenants.fida11.keys[0]'),
        ([{**hule, 'name': 'a\rb'}], child_path('tenants', 'a\rb')),
        ([{**hule, 'name': ''}], "tenants.''"),
    ]
    for listed, path in cases:
        findings = _settings({**MANIFEST, 'tenants': listed}, boot)
        assert isinstance(findings, list), listed
        assert [finding.path for finding in findings] == [path], findings
        assert SECRET not in ' '.join(map(str, findings))
    for manifest in (SECRET, [{'tenants': [hule]}]):
        findings = _settings(manifest, boot)
        assert findings
        assert SECRET not in ' '.join(map(str, findings))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    key=st.sampled_from(
        ['routes', 'services', 'limits', 'host', 'weight', 'tenants', 'apiKeys']
    ),
    content=JSON,
)
def test_a_manifest_with_any_json_in_it_is_accepted_or_refused(
    key: str, content: Any
) -> None:
    manifest = copy.deepcopy({**MANIFEST, 'tenants': list(CUSTOMERS)})
    parents = {
        'host': manifest['routes'][0],
        'weight': manifest['routes'][1]['trafficSplit'][0],
        'apiKeys': manifest['tenants'][0],
    }
    parents.get(key, manifest)[key] = content
    boot = Boot.from_text(json.dumps(dict(SETTINGS_FIELDS)))
    assert isinstance(boot, Boot)
    parsed = _settings(manifest, boot)
    assert isinstance(parsed, (Settings, list))
