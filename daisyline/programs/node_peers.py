"""Parse the addresses of other nodes that a node gets at its start."""

import ipaddress
from urllib import parse as urls

from daisyline.state.failures import Finding

PeerAddresses = tuple[tuple[str, int], ...]


def parse_peers(flag: str, text: str) -> PeerAddresses | Finding:
    """Parse addresses separated by commas.

    Args:
        flag: The flag's name, for a finding.
        text: `IP-NUMBER:PORT,IP-NUMBER:PORT`; empty if there are none.

    Returns:
        The addresses, or a finding with the first that is not valid.
    """
    addresses = []
    for part in filter(None, (piece.strip() for piece in text.split(','))):
        address = _parse_address(part)
        if address is None:
            return Finding(flag, f'{part!r} is not IP-NUMBER:PORT')
        addresses.append(address)
    return tuple(addresses)


def _parse_address(part: str) -> tuple[str, int] | None:
    try:
        return _parse_parts(urls.urlsplit(f'//{part}'))
    except ValueError:
        return None


def _parse_parts(parts: urls.SplitResult) -> tuple[str, int] | None:
    """Return the address, or None if parts are missing or superfluous.

    Raises:
        ValueError: If the IP number or the port is not valid.
    """
    host = ipaddress.ip_address(parts.hostname or '')
    is_bare = not parts.path and not parts.query and parts.username is None
    return (str(host), parts.port) if is_bare and parts.port else None
