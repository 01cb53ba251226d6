"""A settings file and a manifest of the users' platform for tests."""

import json
import types
from collections.abc import Iterator

from daisyline.platform.boot import Boot
from tests.support import fixture

HOST = '10.1.0.38'

SETTINGS_FIELDS = types.MappingProxyType(
    {
        'name': 'sidecar-ghent-a-1',
        'zone': 'ghent-a',
        'region': 'be-flanders',
        'host': HOST,
        'callers': f'{HOST}:8147',
        'notices': f'{HOST}:8144',
        'ready': f'{HOST}:8141',
        'target': f'{HOST}:8145',
        'service': 'shop',
        'store': '10.200.1.7:8142',
        'peers_port': 7380,
        'operators_port': 9464,
        'zones': {'ghent-a': 'be-flanders', 'ghent-b': 'be-flanders'},
        'heartbeat_s': 1.5,
        'stop_s': 6,
        'retry_share': 0.2,
        'retry_slack': 56,
        'exposed_share': 0.1,
        'memory_mb': 300,
    }
)

# The settings that each kind of deployment adds to those that all have.
DEPLOYMENT_SETTINGS = types.MappingProxyType(
    {
        'rollouts': {'exposed_share': 0.1},
        'no rollouts': {'exposed_share': None},
        'customers and duties': {
            'exposed_share': 0.1,
            'duty_api': f'{HOST}:8150',
            'duty_calls_per_s': 50,
            'duty_lease_s': 3,
            'duty_fenced': True,
            'usage_window_s': 5,
            'usage_late_s': 10,
        },
        'required settings only': dict.fromkeys(
            (
                'operators_port',
                'heartbeat_s',
                'stop_s',
                'retry_share',
                'retry_slack',
                'exposed_share',
                'memory_mb',
            )
        ),
    }
)

MANIFEST = types.MappingProxyType(
    {
        'version': 'r7',
        'routes': [
            {
                'name': 'r-orders',
                'host': 'shop.example',
                'pathPrefix': '/orders/',
                'kind': 'unsafe',
                'timeoutS': 1.5,
                'targetLatencyS': 0.4,
                'priority': 1,
                'service': 'shop',
                'maxAttempts': 2,
            },
            {
                'name': 'r-pages',
                'host': 'shop.example',
                'pathPrefix': '/pages/',
                'kind': 'download',
                'timeoutS': 1.2,
                'targetLatencyS': 0.4,
                'priority': 2,
                'trafficSplit': [
                    {'service': 'shop', 'weight': 90},
                    {'service': 'docs', 'weight': 10},
                ],
                'maxAttempts': 2,
            },
        ],
        'services': [
            {
                'name': name,
                'healthCheckPath': '/health',
                'maxConnections': 220,
                'coldStartS': 3.0,
                'coldPerS': 19.0,
            }
            for name in ('shop', 'docs')
        ],
        'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 67108864},
        'baseVersion': 'r5',
    }
)


@fixture
def boot() -> Iterator[Boot]:
    """Give a node's parsed settings file."""
    parsed = Boot.from_text(json.dumps(dict(SETTINGS_FIELDS)))
    assert isinstance(parsed, Boot)
    yield parsed
