"""The settings file of a node, whose values the platform fills in."""

import ipaddress
import json
from collections.abc import Mapping
from typing import Any
from urllib import parse as urls

import attrs

from daisyline.state.failures import Finding

_MAX_PORT = 65_535
_MAX_NUMBER = 1e9
_OPERATORS_PORT = 9464
_HEARTBEAT_S = 1.5
# The shortest time in which a platform kills a process that was told to stop.
_STOP_S = 6.0
_RETRY_SHARE = 0.1
_RETRY_SLACK = 20.0
_DUTY_LEASE_S = 3.0

Address = tuple[str, int]


def _address(setting: Any) -> Address:
    parts = urls.urlsplit(f'//{setting}')
    if parts.port is None:
        raise ValueError('is not IP-NUMBER:PORT')
    return (str(ipaddress.IPv4Address(parts.hostname or '')), parts.port)


def _port(setting: Any) -> int:
    is_integer = isinstance(setting, int) and not isinstance(setting, bool)
    if not is_integer or not 0 < setting <= _MAX_PORT:
        raise ValueError('must be a TCP port')
    return setting


def _text(setting: Any) -> str:
    if not isinstance(setting, str) or not setting:
        raise ValueError('must be a string that is not empty')
    return setting


def _number(setting: Any) -> float:
    if isinstance(setting, bool) or not isinstance(setting, (int, float)):
        raise ValueError('must be a number')
    if not -_MAX_NUMBER <= setting <= _MAX_NUMBER:
        raise ValueError('is out of range')
    return float(setting)


def _regions(setting: Any) -> Mapping[str, str]:
    if not isinstance(setting, dict):
        raise ValueError('must be an object that maps zones to regions')
    return {_text(zone): _text(region) for zone, region in setting.items()}


def _share(setting: Any) -> float:
    number = _number(setting)
    if not 0 <= number <= 1:
        raise ValueError('must be a number from 0 to 1')
    return number


def _boolean(setting: Any) -> bool:
    if not isinstance(setting, bool):
        raise ValueError('must be true or false')
    return setting


def _positive(setting: Any) -> float:
    number = _number(setting)
    if not 0 < number <= _MAX_NUMBER:
        raise ValueError('must be a number greater than 0')
    return number


def _as_text(convert: Any) -> Any:
    """Return a converter that also takes a number or boolean as text."""

    def convert_text(setting: Any) -> Any:
        # A JSON error is a ValueError as well.
        parsed = json.loads(setting) if isinstance(setting, str) else setting
        return convert(parsed)

    return convert_text


def _is_missing(setting: Any) -> bool:
    """Return whether an optional setting has no value.

    The template gives some as text, which is empty without a value. A program
    that knows fewer fields than the template leaves their placeholders.
    """
    if isinstance(setting, str):
        return not setting or setting.startswith('{{')
    return setting is None


def _field(convert: Any, default: Any = attrs.NOTHING) -> Any:
    """Define a field with a function that checks and converts its value.

    Args:
        convert: Raises ValueError if a value is invalid.
        default: The value of a setting that is missing or null; a setting
            without a default is required.
    """
    return attrs.field(metadata={'convert': convert}, default=default)


@attrs.frozen
class Boot:
    """The parsed settings file; `deploy/node.json` is its template.

    A setting with a default may be missing or null, as a deployment names only
    what it uses. Unknown settings are ignored.

    Attributes:
        name: The node's name.
        zone: The node's availability zone.
        region: The region of that zone.
        host: The IP address that the node listens on.
        callers: The address for requests of clients and of the target beside
            the node.
        notices: The address for notices of the target beside the node.
        ready: The address at which the platform checks readiness for clients.
        target: The address of the target beside the node.
        service: The service of that target.
        store: The address of the platform's store.
        peers_port: The TCP port for other nodes.
        zones: The region of each availability zone. Required, as all nodes
            have to derive the same settings tree.
        operators_port: The TCP port for operators and metrics.
        heartbeat_s: The interval between heartbeats of a target, in seconds.
        stop_s: How long a process may take to stop, in seconds.
        retry_share: Allowed retries per call, counted over all nodes, from 0
            to 1.
        retry_slack: Retries allowed in each `budgetWindowS` in addition to
            those of `retry_share`.
        exposed_share: The fraction of a service's calls that a new version may
            get before it has been judged. None if there are no rollouts; their
            orders are not read then.
        memory_mb: The memory of the node's machine, in megabytes; None if it
            is not known.
        duty_api: The address for calls that one node at a time makes; None if
            there are no such duties.
        duty_calls_per_s: How many of these calls all nodes together may make
            per second; None if this is not limited.
        duty_lease_s: How long a node may hold a duty without renewing it, in
            seconds.
        duty_fenced: Whether the platform rejects calls of an earlier holder.
        usage_window_s: The length of the windows in which usage is reported,
            in seconds; None if it is not reported.
        usage_late_s: How long after the end of a window its report is due, in
            seconds; None if usage is not reported.
    """

    name: str = _field(_text)
    zone: str = _field(_text)
    region: str = _field(_text)
    host: str = _field(_text)
    callers: Address = _field(_address)
    notices: Address = _field(_address)
    ready: Address = _field(_address)
    target: Address = _field(_address)
    service: str = _field(_text)
    store: Address = _field(_address)
    peers_port: int = _field(_port)
    zones: Mapping[str, str] = _field(_regions)
    operators_port: int = _field(_port, _OPERATORS_PORT)
    heartbeat_s: float = _field(_positive, _HEARTBEAT_S)
    stop_s: float = _field(_positive, _STOP_S)
    retry_share: float = _field(_share, _RETRY_SHARE)
    retry_slack: float = _field(_number, _RETRY_SLACK)
    exposed_share: float | None = _field(_share, None)
    memory_mb: float | None = _field(_as_text(_positive), None)
    duty_api: Address | None = _field(_address, None)
    duty_calls_per_s: float | None = _field(_as_text(_positive), None)
    duty_lease_s: float = _field(_as_text(_positive), _DUTY_LEASE_S)
    duty_fenced: bool = _field(_as_text(_boolean), default=True)
    usage_window_s: float | None = _field(_as_text(_positive), None)
    usage_late_s: float | None = _field(_as_text(_positive), None)

    @classmethod
    def from_text(cls, text: str) -> 'Boot | list[Finding]':
        """Parse the text of the file, or return all errors in it."""
        try:
            settings = json.loads(text)
        except ValueError as error:
            return [Finding('settings file', f'is not JSON: {error}')]
        if not isinstance(settings, dict):
            return [Finding('settings file', 'is not a JSON object')]
        findings = []
        converted: dict[str, Any] = {}
        for field in attrs.fields(cls):
            setting = settings.get(field.name)
            if _is_missing(setting) and field.default is not attrs.NOTHING:
                continue
            try:
                converted[field.name] = field.metadata['convert'](setting)
            except ValueError as error:
                findings.append(Finding(field.name, str(error)))
        return findings or cls(**converted)

    @property
    def cluster(self) -> str:
        """Return the cluster's name; a platform's nodes are one cluster."""
        return 'platform'

    @property
    def callers_port(self) -> int:
        """Return the TCP port for callers."""
        return self.callers[1]

    @property
    def target_host(self) -> str:
        """Return the IP address to which the target sends its notices."""
        return self.notices[0]

    @property
    def target_port(self) -> int:
        """Return the TCP port to which the target sends its notices."""
        return self.notices[1]

    @property
    def ready_port(self) -> int:
        """Return the TCP port for readiness checks."""
        return self.ready[1]

    @property
    def platform_address(self) -> Address:
        """Return the IP address and the TCP port of the platform's store."""
        return self.store

    @property
    def peers(self) -> tuple[Address, ...]:
        """Return no addresses; nodes discover each other through the store."""
        return ()
