"""Translates the platform's manifest to a settings tree."""

import re
from collections.abc import Mapping
from typing import Any

from daisyline.platform.boot import Boot
from daisyline.platform.customers import TranslatedCustomers
from daisyline.state.limits import PERCENT

_MS_PER_S = 1000
_VERSION = re.compile('r[0-9]{1,15}')
# Larger numbers and NaN are not converted: scaling them overflows, and every
# limit in a settings tree is far smaller.
_MAX_NUMBER = 1e15
# Weights in a manifest may have fractions; those in a tree are integers.
_WEIGHT_SCALE = 1000
_REPEATABLE_KINDS = frozenset(('safe', 'download'))
_BULKY_KIND = 'download'
# Upstreams slow down when more than this percentage of their slots is busy.
_SLOTS_USED_PERCENT = 80
# Traffic between zones is billed by the byte, so routes with large answers
# accept more latency to stay in their zone.
_ZONE_PREFERENCE_MS = 30
_ZONE_PREFERENCE_PERCENT = 25
_BULKY_ZONE_PREFERENCE_MS = 400
# The fraction of the allowed retries that is used. It is below 1 because calls
# that a retried call makes count as retries too, at the node where they arrive.
_RETRY_FRACTION = 0.6
# Cold upstreams sustain `coldPerS` and fail well above it. The contract's limit
# is 1.5 times `coldPerS` plus a few calls.
_COLD_RATE_FACTOR = 1.3


def settings_tree(manifest: Any, boot: Boot) -> Any:
    """Return the settings tree of a manifest.

    Values that can't be translated are copied unchanged, so that the check of
    the tree reports their path. Customers are translated without their keys,
    of which only hashes remain.

    Args:
        manifest: The decoded JSON of the stored manifest; any JSON value.
        boot: The node's settings file.
    """
    if not isinstance(manifest, dict):
        return {'problems': {'manifest': 'must be an object'}}
    customers = TranslatedCustomers.from_list(manifest.get('tenants'))
    # Left out where there are none, so that nodes of the build before accept
    # the tree of a deployment without customers.
    optional = {'tenants': customers.entries, 'problems': customers.problems}
    return {
        'cluster': boot.cluster,
        'defaults': {**_defaults(boot), **_limits(manifest.get('limits'))},
        'zones': {
            zone: {'region': region} for zone, region in boot.zones.items()
        },
        'services': _translate_by_name(manifest.get('services'), _service),
        'routes': _translate_by_name(manifest.get('routes'), _route),
        **{name: section for name, section in optional.items() if section},
    }


def manifest_number(manifest: Any) -> int:
    """Return the number in the version of a manifest; 0 if there is none.

    Args:
        manifest: The decoded JSON of the stored manifest; any JSON value.
    """
    version = manifest.get('version') if isinstance(manifest, dict) else None
    if not isinstance(version, str) or not _VERSION.fullmatch(version):
        return 0
    return int(version[1:])


def _defaults(boot: Boot) -> dict[str, int]:
    return {
        'retry_percent': int(boot.retry_share * _RETRY_FRACTION * PERCENT),
        'retry_reserve': int(boot.retry_slack * _RETRY_FRACTION),
        'slots_used_percent': _SLOTS_USED_PERCENT,
        'zone_preference_ms': _ZONE_PREFERENCE_MS,
        'zone_preference_percent': _ZONE_PREFERENCE_PERCENT,
        'bulky_zone_preference_ms': _BULKY_ZONE_PREFERENCE_MS,
        # Not needed, as targets report when they are cold.
        'zone_return_ms': 0,
    }


def _limits(limits: Any) -> dict[str, Any]:
    if not isinstance(limits, dict) or limits.get('maxBodyBytes') is None:
        return {}
    return {'body_limit_bytes': limits['maxBodyBytes']}


def _translate_by_name(entries: Any, translate: Any) -> Any:
    """Return the translated entries of a list by their names.

    A malformed entry stays unchanged under its position.
    """
    if not isinstance(entries, list):
        return entries
    translated: dict[str, Any] = {}
    for position, entry in enumerate(entries):
        if isinstance(entry, dict):
            translated[str(entry.get('name'))] = translate(entry)
        else:
            translated[str(position)] = entry
    return translated


def _service(entry: Mapping[str, Any]) -> dict[str, Any]:
    translated = {
        'connections_per_server': entry.get('maxConnections'),
        'pace_path': entry.get('healthCheckPath'),
        'cold_start_ms': _round_ms(entry.get('coldStartS')),
        'cold_calls_per_s': _round(entry.get('coldPerS'), _COLD_RATE_FACTOR),
    }
    return _without_none(translated)


def _without_none(translated: Mapping[str, Any]) -> dict[str, Any]:
    """Return the entries that are set, so that defaults apply to the others."""
    return {
        name: content
        for name, content in translated.items()
        if content is not None
    }


def _route(entry: Mapping[str, Any]) -> dict[str, Any]:
    kind = entry.get('kind')
    translated = {
        'host': entry.get('host'),
        'prefix': entry.get('pathPrefix'),
        'services': _traffic_split(entry),
        'repeatable': kind in _REPEATABLE_KINDS,
        'bulky': kind == _BULKY_KIND,
        'targets': _or_default(entry.get('maxAttempts'), 1),
        'priority': entry.get('priority'),
        'deadline_ms': _round_ms(entry.get('timeoutS')),
        'objective_ms': _round_ms(entry.get('targetLatencyS')),
        'key_exempt': entry.get('authExempt'),
    }
    return _without_none(translated)


def _or_default(content: Any, default: Any) -> Any:
    """Return a value, or the default if it is missing or null."""
    return default if content is None else content


def _traffic_split(entry: Mapping[str, Any]) -> Any:
    """Return the integer weight of each service of a route.

    Without a split, the route's own service gets all calls. A split that is
    not a list stays unchanged.
    """
    shares = entry.get('trafficSplit')
    if not shares:
        service = entry.get('service')
        return None if service is None else {str(service): 1}
    if not isinstance(shares, list):
        return shares
    return {
        name: _round(entry, _WEIGHT_SCALE)
        for name, entry in _weights(shares).items()
    }


def _weights(shares: list[Any]) -> dict[str, Any]:
    """Return the weight of each service.

    A malformed entry becomes an invalid weight under its position, so that
    the check of the tree reports it.
    """
    weights: dict[str, Any] = {}
    for position, share in enumerate(shares):
        if isinstance(share, dict):
            weights[str(share.get('service'))] = share.get('weight')
        else:
            weights[str(position)] = [share]
    return weights


def _round_ms(seconds: Any) -> Any:
    """Return seconds as rounded milliseconds; other values stay unchanged."""
    return _round(seconds, _MS_PER_S)


def _round(number: Any, scale: float = 1) -> Any:
    """Return a scaled and rounded number; other values stay unchanged."""
    if isinstance(number, bool) or not isinstance(number, (int, float)):
        return number
    is_in_range = -_MAX_NUMBER <= number <= _MAX_NUMBER
    return round(number * scale) if is_in_range else number
