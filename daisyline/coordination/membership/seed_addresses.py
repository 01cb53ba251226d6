"""Reads the addresses in the platform's `seeds` objects."""

import ipaddress
from typing import Any

Address = tuple[str, int]
_MAX_PORT = 65_535


def addresses_in(value: Any) -> list[Address]:
    """Return the addresses in a `seeds` object; malformed ones are skipped."""
    listed = value.get('addresses') if isinstance(value, dict) else None
    if not isinstance(listed, (list, tuple)):
        return []
    return [
        (entry[0], entry[1])
        for entry in listed
        if isinstance(entry, (list, tuple))
        and len(entry) == 2
        and _is_address(*entry)
    ]


def _is_address(host: Any, port: Any) -> bool:
    """Return whether these are an IPv4 address and a TCP port."""
    if not isinstance(host, str) or not isinstance(port, int):
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return 0 < port <= _MAX_PORT and not isinstance(port, bool)
