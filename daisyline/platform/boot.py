"""The settings file of a node, whose values the platform fills in."""

import ipaddress
import json
from collections.abc import Mapping
from typing import Any
from urllib import parse as urls

import attrs

from daisyline.state.failures import Finding

_MAX_PORT = 65_535

Address = tuple[str, int]


def _address(setting: Any) -> Address:
    parts = urls.urlsplit(f'//{setting}')
    if parts.port is None:
        raise ValueError('is not IP-NUMBER:PORT')
    return (str(ipaddress.IPv4Address(parts.hostname or '')), parts.port)


def _port(setting: Any) -> int:
    if not isinstance(setting, int) or not 0 < setting <= _MAX_PORT:
        raise ValueError('must be a TCP port')
    return setting


def _text(setting: Any) -> str:
    if not isinstance(setting, str) or not setting:
        raise ValueError('must be a string that is not empty')
    return setting


def _number(setting: Any) -> float:
    if isinstance(setting, bool) or not isinstance(setting, (int, float)):
        raise ValueError('must be a number')
    return float(setting)


def _regions(setting: Any) -> Mapping[str, str]:
    if not isinstance(setting, dict):
        raise ValueError('must be an object that maps zones to regions')
    return {_text(zone): _text(region) for zone, region in setting.items()}


def _field(convert: Any) -> Any:
    """Define a field with a function that checks and converts its value.

    The function raises ValueError if the value is invalid.
    """
    return attrs.field(metadata={'convert': convert})


@attrs.frozen
class Boot:
    """The parsed settings file; `deploy/node.json` is its template.

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
        operators_port: The TCP port for operators and metrics.
        zones: The region of each availability zone.
        heartbeat_s: The interval between heartbeats of a target, in seconds.
        stop_s: How long a process may take to stop, in seconds.
        retry_share: Allowed retries per call, counted over all nodes.
        retry_slack: Retries allowed in each `budgetWindowS` in addition to
            those of `retry_share`.
        exposed_share: The fraction of a service's calls that a new version may
            get before it has been judged.
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
    operators_port: int = _field(_port)
    zones: Mapping[str, str] = _field(_regions)
    heartbeat_s: float = _field(_number)
    stop_s: float = _field(_number)
    retry_share: float = _field(_number)
    retry_slack: float = _field(_number)
    exposed_share: float = _field(_number)

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
            try:
                converted[field.name] = field.metadata['convert'](
                    settings.get(field.name)
                )
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
