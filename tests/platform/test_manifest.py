"""A manifest is translated to a settings tree; an invalid one is refused."""

import copy
import json
import math
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from daisyline.platform.boot import Boot
from daisyline.platform.manifest import settings_tree
from daisyline.state.settings import Settings
from tests.platform.fixtures import MANIFEST, SETTINGS_FIELDS
from tests.support import function_tests

load_tests = function_tests(__name__)

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


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    key=st.sampled_from(['routes', 'services', 'limits', 'host', 'weight']),
    content=JSON,
)
def test_a_manifest_with_any_json_in_it_is_accepted_or_refused(
    key: str, content: Any
) -> None:
    manifest = copy.deepcopy(dict(MANIFEST))
    parents = {
        'host': manifest['routes'][0],
        'weight': manifest['routes'][1]['trafficSplit'][0],
    }
    parents.get(key, manifest)[key] = content
    boot = Boot.from_text(json.dumps(dict(SETTINGS_FIELDS)))
    assert isinstance(boot, Boot)
    parsed = _settings(manifest, boot)
    assert isinstance(parsed, (Settings, list))
