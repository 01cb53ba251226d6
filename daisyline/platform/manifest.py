"""The platform's manifest as a settings tree."""

from collections.abc import Mapping
from typing import Any

from daisyline.platform.boot import Boot
from daisyline.state.limits import PERCENT

_MS_PER_S = 1000
# Weights may have fractions; a tree's are whole numbers.
_WEIGHT_SCALE = 1000
_REPEATABLE_KINDS = frozenset(('safe', 'download'))
_BULKY_KIND = 'download'
# Upstreams slow down when more than this part of their slots is busy.
_SLOTS_USED_PERCENT = 80
# Bytes between zones have a price; large answers cost more than lateness.
_ZONE_PREFERENCE_MS = 30
_BULKY_ZONE_PREFERENCE_MS = 400
# The part of the retries allowed that is used: a call made for a retried one
# counts as a retry too, where it arrives.
_RETRY_PART = 0.6
# Upstreams bear `coldPerS` and fail well above it; the contract's bound is half
# as much again and some calls more.
_COLD_PART = 1.3


def settings_tree(manifest: Any, boot: Boot) -> Any:
    """Return the settings tree of a manifest.

    What can't be translated is handed on as it is, so that the check of the
    tree names its place.

    Args:
        manifest: The manifest as it was stored, any JSON.
        boot: What the node was told at its start.
    """
    if not isinstance(manifest, dict):
        return manifest
    return {
        'cluster': boot.cluster,
        'defaults': {**_defaults(boot), **_bounds(manifest.get('limits'))},
        'zones': {
            zone: {'region': region} for zone, region in boot.zones.items()
        },
        'services': _by_name(manifest.get('services'), _service),
        'routes': _by_name(manifest.get('routes'), _route),
    }


def _defaults(boot: Boot) -> dict[str, int]:
    return {
        'retry_percent': int(boot.retry_share * _RETRY_PART * PERCENT),
        'retry_reserve': int(boot.retry_slack * _RETRY_PART),
        'slots_used_percent': _SLOTS_USED_PERCENT,
        'zone_preference_ms': _ZONE_PREFERENCE_MS,
        'bulky_zone_preference_ms': _BULKY_ZONE_PREFERENCE_MS,
        # Targets say themselves when they are cold.
        'zone_return_ms': 0,
    }


def _bounds(limits: Any) -> dict[str, Any]:
    if not isinstance(limits, dict) or 'maxBodyBytes' not in limits:
        return {}
    return {'body_limit_bytes': limits['maxBodyBytes']}


def _by_name(listed: Any, translate: Any) -> Any:
    """Return the entries of a list by the names that stand in them."""
    if not isinstance(listed, list):
        return listed
    return {
        str(entry.get('name')): translate(entry)
        for entry in listed
        if isinstance(entry, dict)
    }


def _service(entry: Mapping[str, Any]) -> dict[str, Any]:
    translated = {
        'connections_per_server': entry.get('maxConnections'),
        'pace_path': entry.get('healthCheckPath'),
        'cold_start_ms': _ms(entry.get('coldStartS')),
        'cold_calls_per_s': _whole(entry.get('coldPerS'), _COLD_PART),
    }
    return {
        name: content
        for name, content in translated.items()
        if content is not None
    }


def _route(entry: Mapping[str, Any]) -> dict[str, Any]:
    kind = entry.get('kind')
    return {
        'host': entry.get('host'),
        'prefix': entry.get('pathPrefix'),
        'services': _split(entry),
        'repeatable': kind in _REPEATABLE_KINDS,
        'bulky': kind == _BULKY_KIND,
        'targets': entry.get('maxAttempts', 1),
        'priority': entry.get('priority', 1),
        'deadline_ms': _ms(entry.get('timeoutS', 0)),
        'objective_ms': _ms(entry.get('targetLatencyS', 0)),
    }


def _split(entry: Mapping[str, Any]) -> Any:
    parts = entry.get('trafficSplit')
    if not parts:
        return {str(entry['service']): 1} if 'service' in entry else None
    if not isinstance(parts, list):
        return parts
    return {
        str(part.get('service')): _whole(part.get('weight'), _WEIGHT_SCALE)
        for part in parts
        if isinstance(part, dict)
    }


def _ms(seconds: Any) -> Any:
    return _whole(seconds, _MS_PER_S)


def _whole(said: Any, scale: float = 1) -> Any:
    """Return a number as a whole one; what is none is left as it is."""
    if isinstance(said, bool) or not isinstance(said, (int, float)):
        return said
    return round(said * scale)
