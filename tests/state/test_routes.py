"""A request gets the route of its host with the longest matching prefix."""

import types
from collections.abc import Iterable

from hypothesis import given, settings
from hypothesis import strategies as st

from daisyline.state.routes import RouteTable
from daisyline.state.settings import Settings
from daisyline.state.settings_check import check_tree
from tests.support import function_tests

load_tests = function_tests(__name__)

ROUTES = types.MappingProxyType(
    {
        'all': {'host': 'shop.example', 'prefix': '/', 'services': {'docs': 1}},
        'orders': {
            'host': 'shop.example',
            'prefix': '/orders/',
            'services': {'catalogue': 9, 'docs': 1},
            'repeatable': True,
            'deadline_ms': 1500,
        },
    }
)
SEGMENTS = st.lists(st.sampled_from(['a', 'b', 'ab', '']), max_size=4)


def _route_name(host: str, path: bytes) -> str:
    route = RouteTable.from_tree(ROUTES).find(host, path)
    return '' if route is None else route.name


def test_the_longest_prefix_is_used_and_ends_at_a_slash() -> None:
    assert _route_name('shop.example', b'/orders/7?x=/a/') == 'orders'
    assert _route_name('shop.example', b'/orders') == 'all'
    assert _route_name('shop.example', b'/ordersfoo/') == 'all'
    assert _route_name('other.example', b'/orders/7') == ''
    assert _route_name('shop.example', b'*') == ''


@settings(derandomize=True, max_examples=200, deadline=None)
@given(prefixes=st.sets(SEGMENTS.map(tuple), max_size=6), path=SEGMENTS)
def test_the_table_finds_the_same_route_as_a_search_of_all_prefixes(
    prefixes: set[tuple[str, ...]], path: list[str]
) -> None:
    joined = {_path((*segments, '')) for segments in prefixes}
    entries = {
        prefix: {'host': 'h', 'prefix': prefix, 'services': {'docs': 1}}
        for prefix in joined
    }
    requested_path = _path(path)
    matching = [
        prefix for prefix in joined if requested_path.startswith(prefix)
    ]
    found = RouteTable.from_tree(entries).find('h', requested_path.encode())
    longest = max(matching, key=len, default='')
    assert getattr(found, 'prefix', '') == longest


def _path(segments: Iterable[str]) -> str:
    joined = '/'.join(segments)
    return f'/{joined}'


def test_mistakes_in_routes_are_reported_with_their_paths() -> None:
    tree = {
        'cluster': 'stofbril',
        'services': {'docs': {}},
        'routes': {
            'good': {'host': 'a', 'prefix': '/', 'services': {'docs': 1}},
            'bare': {'host': 'a', 'prefix': 'x', 'services': {'docs': 1}},
            'lost': {'host': 'a', 'prefix': '/', 'services': {'dox': 1}},
            'none': {'host': 'a', 'prefix': '/', 'services': {'docs': 0}},
            'odd': {
                'host': 'a',
                'prefix': '/',
                'services': {'docs': 1},
                'repeatable': 1,
            },
        },
    }
    paths = {finding.path for finding in check_tree(tree)}
    assert paths == {
        'routes.bare.prefix',
        'routes.lost.services.dox',
        'routes.none.services',
        'routes.odd.repeatable',
    }


def test_settings_cache_their_routes() -> None:
    settings_in_force = Settings.from_tree(1, {'routes': dict(ROUTES)})
    assert settings_in_force.routes is settings_in_force.routes
    route = settings_in_force.routes.find('shop.example', b'/orders/')
    assert route is not None
    assert route.split == (('catalogue', 9), ('docs', 1))
