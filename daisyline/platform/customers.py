"""Translates the customers of a manifest; their keys become hashes.

What can't be translated may hold a key. It is therefore not copied to the
settings tree, but described by its path and what is wrong.
"""

from collections.abc import Iterator
from typing import Any

import attrs

from daisyline.state.customers import KEYS, hash_key

_SECTION = 'tenants'
_KEY_LIST = 'apiKeys'

Problems = dict[str, str]


@attrs.frozen
class TranslatedCustomers:
    """The customers of a manifest in the form of a settings tree.

    Attributes:
        entries: The section `tenants` of the tree.
        problems: What could not be translated, by its path in the manifest.
    """

    entries: dict[str, Any] = attrs.field(factory=dict)
    problems: Problems = attrs.field(factory=dict)

    @classmethod
    def from_list(cls, listed: Any) -> 'TranslatedCustomers':
        """Translate the list of customers, any JSON value."""
        translated = cls()
        if listed is None:
            return translated
        if not isinstance(listed, list):
            translated.problems[_SECTION] = 'must be a list'
            return translated
        for position, entry in enumerate(listed):
            translated._add(f'{_SECTION}[{position}]', entry)
        return translated

    def _add(self, path: str, entry: Any) -> None:
        if not isinstance(entry, dict):
            self.problems[path] = 'must be an object'
            return
        name = entry.get('name')
        if not isinstance(name, str):
            self.problems[f'{path}.name'] = 'must be a string'
            return
        if name in self.entries:
            problem = 'is the name of an earlier customer'
            self.problems[f'{path}.name'] = problem
            return
        hashes = self._hashes(f'{path}.{_KEY_LIST}', entry.get(_KEY_LIST))
        self.entries[name] = {KEYS: list(dict.fromkeys(hashes))}
        priority = entry.get('priority')
        if isinstance(priority, bool) or not isinstance(
            priority, (int, type(None))
        ):
            self.problems[f'{path}.priority'] = 'must be a whole number'
        elif priority is not None:
            self.entries[name]['priority'] = priority

    def _hashes(self, path: str, keys: Any) -> Iterator[str]:
        """Yield the hash of each key of a customer."""
        if keys is None:
            return
        if not isinstance(keys, list):
            self.problems[path] = 'must be a list of strings'
            return
        for index, key in enumerate(keys):
            if not isinstance(key, str):
                self.problems[f'{path}[{index}]'] = 'must be a string'
            elif not key.strip():
                self.problems[f'{path}[{index}]'] = 'must not be empty'
            else:
                # JSON can hold half a surrogate pair, which has no UTF-8 form.
                yield hash_key(key.encode(errors='surrogatepass'))
