"""Customers and the hashes of their keys."""

import hashlib
from collections.abc import Mapping
from typing import Any

import attrs

KEYS = 'keys'
# Stands for the customer of a call where none is known; no customer has it.
NO_CUSTOMER = ''
# 128 bits: a second key with the hash of a known one can't be found. Half of
# SHA-256 halves what keys add to the settings that nodes send each other.
HASH_DIGITS = 32


def hash_key(key: bytes) -> str:
    """Return the hash that stands for a key: the first digits of SHA-256."""
    return hashlib.sha256(key).hexdigest()[:HASH_DIGITS]


@attrs.frozen
class Customer:
    """A customer, who sends requests with a key.

    Attributes:
        name: The customer's name, unique in the settings.
        priority: The priority of its requests under load, 0 first; None if
            the route's priority applies.
    """

    name: str
    priority: int | None = None


@attrs.frozen
class CustomerTable:
    """The customers of a settings tree, by the hashes of their keys.

    Attributes:
        requires_keys: Whether requests need a key. That is so if any customer
            has a list of keys, also an empty one: taking the last key away
            must not let requests in without one.
    """

    _by_hash: Mapping[str, Customer] = attrs.field(factory=dict)
    requires_keys: bool = False

    @classmethod
    def from_tree(cls, entries: Mapping[str, Any]) -> 'CustomerTable':
        """Build the table from section `tenants` of a checked tree."""
        by_hash: dict[str, Customer] = {}
        for name, entry in entries.items():
            customer = Customer(name, entry.get('priority'))
            by_hash.update(dict.fromkeys(entry.get(KEYS, ()), customer))
        requires_keys = any(KEYS in listed for listed in entries.values())
        return cls(by_hash, requires_keys)

    def find(self, key_hash: str) -> Customer | None:
        """Return the customer that holds the key with a hash, if any."""
        return self._by_hash.get(key_hash)
