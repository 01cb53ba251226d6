"""Addresses of other nodes that a node is given at its start."""

import ipaddress
from urllib import parse as urls

from daisyline.state.failures import Finding

PeerAddresses = tuple[tuple[str, int], ...]


def parse_peers(place: str, word: str) -> PeerAddresses | Finding:
    """Read addresses with commas between, or say which one is wrong.

    Args:
        place: The flag, for the finding.
        word: `IP-NUMBER:PORT,IP-NUMBER:PORT`; empty for none.
    """
    addresses = []
    for part in filter(None, (piece.strip() for piece in word.split(','))):
        address = _address(part)
        if address is None:
            return Finding(place, f'{part!r} is not IP-NUMBER:PORT')
        addresses.append(address)
    return tuple(addresses)


def _address(part: str) -> tuple[str, int] | None:
    try:
        return _checked(urls.urlsplit(f'//{part}'))
    except ValueError:
        return None


def _checked(parts: urls.SplitResult) -> tuple[str, int] | None:
    """Return the address; raise ValueError for a bad number or port."""
    host = ipaddress.ip_address(parts.hostname or '')
    bare = not parts.path and not parts.query and parts.username is None
    return (str(host), parts.port) if bare and parts.port else None
