"""A manifest becomes a settings tree; one that can't be used is refused."""

import copy
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from daisyline.platform.boot import Boot
from daisyline.platform.manifest import tree_of
from daisyline.state.settings import Settings
from tests.platform.fixtures import MANIFEST
from tests.support import function_tests

load_tests = function_tests(__name__)

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


def _settings(manifest: Any, boot: Boot) -> Any:
    return Settings.from_object(7, {'tree': tree_of(manifest, boot)})


def test_routes_and_limits_have_our_names_and_units(boot: Boot) -> None:
    held = _settings(MANIFEST, boot)
    assert isinstance(held, Settings)
    order = held.routes.find('shop.example', b'/orders/1')
    assert order is not None
    assert not order.repeatable
    assert (order.deadline_ms, order.objective_ms) == (1500, 400)
    assert (order.targets, order.priority) == (2, 1)
    page = held.routes.find('shop.example', b'/pages/1')
    assert page is not None
    assert page.repeatable
    assert page.bulky
    assert dict(page.split) == {'shop': 90_000, 'docs': 10_000}
    limits = held.limits_for('shop', 'ghent-a')
    assert limits.connections_per_server == 220
    assert limits.cold_start_ms == 3000
    assert limits.cold_calls_per_s == 19
    assert limits.pace_path == '/health'
    assert limits.body_limit_bytes == 67108864


def test_a_route_to_an_unknown_service_makes_it_unusable(boot: Boot) -> None:
    broken = copy.deepcopy(MANIFEST)
    broken['routes'][0]['service'] = 'gone'
    findings = _settings(broken, boot)
    assert isinstance(findings, list)
    assert findings[0].place == 'routes.r-orders.services.gone'


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    place=st.sampled_from(['routes', 'services', 'limits', 'host', 'weight']),
    said=JSON,
)
def test_whatever_stands_in_it_is_used_or_refused(
    place: str, said: Any
) -> None:
    manifest = copy.deepcopy(MANIFEST)
    if place in manifest:
        manifest[place] = said
    elif place == 'weight':
        manifest['routes'][1]['trafficSplit'][0]['weight'] = said
    else:
        manifest['routes'][0][place] = said
    boot = Boot(
        **{
            'name': 'n',
            'zone': 'ghent-a',
            'region': 'f',
            'host': 'h',
            'callers': ('h', 1),
            'notices': ('h', 2),
            'ready': ('h', 3),
            'target': ('h', 4),
            'service': 'shop',
            'store': ('h', 5),
            'peers_port': 6,
            'operators_port': 7,
            'zones': {'ghent-a': 'f'},
            'heartbeat_s': 1.5,
            'stop_s': 6,
            'retry_share': 0.2,
            'retry_slack': 56,
            'exposed_share': 0.1,
        }
    )
    held = _settings(manifest, boot)
    assert isinstance(held, (Settings, list))
