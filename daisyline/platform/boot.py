"""What a node is told by the settings file that the platform fills in."""

import ipaddress
import json
from collections.abc import Mapping
from typing import Any
from urllib import parse as urls

import attrs

from daisyline.state.failures import Finding

_MAX_PORT = 65_535

Address = tuple[str, int]


def _address(said: Any) -> Address:
    parts = urls.urlsplit(f'//{said}')
    if parts.port is None:
        raise ValueError('it is not IP-NUMBER:PORT')
    return (str(ipaddress.IPv4Address(parts.hostname or '')), parts.port)


def _port(said: Any) -> int:
    if not isinstance(said, int) or not 0 < said <= _MAX_PORT:
        raise ValueError('it is no TCP port')
    return said


def _text(said: Any) -> str:
    if not isinstance(said, str) or not said:
        raise ValueError('a text is needed')
    return said


def _number(said: Any) -> float:
    if isinstance(said, bool) or not isinstance(said, (int, float)):
        raise ValueError('a number is needed')
    return float(said)


def _regions(said: Any) -> Mapping[str, str]:
    if not isinstance(said, dict):
        raise ValueError('an object with a region for each zone is needed')
    return {_text(zone): _text(region) for zone, region in said.items()}


def _from(convert: Any) -> Any:
    """Define a field with the function that checks and converts it."""
    return attrs.field(metadata={'convert': convert})


@attrs.frozen
class Boot:
    """The filled-in settings file, see `deploy/node.json`.

    Attributes:
        name: The node's name.
        zone: The availability zone it stands in.
        region: The region of that zone.
        host: The IP number that it listens on.
        callers: Where clients and the target beside it send requests.
        notices: Where the target beside it says how it is.
        ready: Where the platform asks if the node takes clients.
        target: The address of the target beside it.
        service: The service of that target.
        store: The address of the platform's store.
        peers_port: The TCP port for other nodes.
        operators_port: The TCP port for operators and metrics.
        zones: The region of each availability zone.
        heartbeat_s: How often a target says how it is, in seconds.
        stop_s: How long a process may take to stop, in seconds.
        retry_share: Retries allowed for each call, over all nodes.
        retry_slack: Retries allowed beyond these in `budgetWindowS`.
        exposed_share: The part of a service's calls that a version may get
            before it has been judged.
    """

    name: str = _from(_text)
    zone: str = _from(_text)
    region: str = _from(_text)
    host: str = _from(_text)
    callers: Address = _from(_address)
    notices: Address = _from(_address)
    ready: Address = _from(_address)
    target: Address = _from(_address)
    service: str = _from(_text)
    store: Address = _from(_address)
    peers_port: int = _from(_port)
    operators_port: int = _from(_port)
    zones: Mapping[str, str] = _from(_regions)
    heartbeat_s: float = _from(_number)
    stop_s: float = _from(_number)
    retry_share: float = _from(_number)
    retry_slack: float = _from(_number)
    exposed_share: float = _from(_number)

    @classmethod
    def from_text(cls, text: str) -> 'Boot | list[Finding]':
        """Read the file's text, or return every mistake in it."""
        try:
            said = json.loads(text)
        except ValueError as error:
            return [Finding('settings file', f'it is not JSON: {error}')]
        if not isinstance(said, dict):
            return [Finding('settings file', 'it is not a JSON object')]
        findings = []
        taken: dict[str, Any] = {}
        for field in attrs.fields(cls):
            try:
                taken[field.name] = field.metadata['convert'](
                    said.get(field.name)
                )
            except ValueError as error:
                findings.append(Finding(field.name, str(error)))
        return findings or cls(**taken)

    @property
    def cluster(self) -> str:
        """Return the cluster's name; the platform has one for all nodes."""
        return 'platform'

    @property
    def callers_port(self) -> int:
        """Return the TCP port for callers."""
        return self.callers[1]

    @property
    def target_host(self) -> str:
        """Return the IP number at which the target sends its notices."""
        return self.notices[0]

    @property
    def target_port(self) -> int:
        """Return the TCP port at which the target sends its notices."""
        return self.notices[1]

    @property
    def ready_port(self) -> int:
        """Return the TCP port that is asked for readiness."""
        return self.ready[1]

    @property
    def platform_address(self) -> Address:
        """Return the IP number and the TCP port of the platform's store."""
        return self.store

    @property
    def peers(self) -> tuple[Address, ...]:
        """Return nothing: nodes find each other by the store."""
        return ()
