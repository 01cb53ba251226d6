"""The stored settings object: a tree with the history of its last changes."""

from collections.abc import Mapping
from typing import Any

import attrs

from daisyline.state.failures import Finding
from daisyline.state.settings_check import check_tree
from daisyline.state.settings_edits import (
    Edit,
    apply_edits,
    canonical,
    revert_edits,
)
from daisyline.state.settings_rules import format_value

MAX_CHANGES = 64
MAX_SENTENCE_CHARACTERS = 400
# A change with more edits is stored without them, to bound the object's size.
MAX_STORED_EDITS = 40

EDITION = 'edition'
_TREE = 'tree'
_CHANGES = 'changes'


@attrs.frozen
class Change:
    """One accepted change of the settings.

    Attributes:
        id: The change's unique id, chosen by the program that requests it.
        by: Who requested the change.
        at: The time of the request, in UTC and ISO 8601 form.
        what: The change as one sentence for people.
        base: The version that the change was based on.
        edits: The edits; None if there were too many to store.
    """

    id: str
    by: str
    at: str
    what: str
    base: int = 0
    edits: tuple[Edit, ...] | None = None

    @classmethod
    def from_fields(cls, fields: Mapping[str, Any]) -> 'Change':
        """Build a change from its JSON form.

        Other programs may have written it, so malformed fields are replaced
        by defaults.
        """
        base = fields.get('base')
        return cls(
            id=str(fields['id']),
            by=str(fields.get('by', '')),
            at=str(fields.get('at', '')),
            what=str(fields.get('what', '')),
            base=base if isinstance(base, int) else 0,
            edits=_edits_from(fields.get('edits')),
        )

    def to_fields(self) -> dict[str, Any]:
        """Return the JSON form, with a cut sentence and bounded edits."""
        edits = self.edits
        if edits is None or len(edits) > MAX_STORED_EDITS:
            stored_edits = None
        else:
            stored_edits = [edit.to_fields() for edit in edits]
        return {
            'id': self.id,
            'by': self.by,
            'at': self.at,
            'what': self.what[:MAX_SENTENCE_CHARACTERS],
            'base': self.base,
            'edits': stored_edits,
        }


@attrs.frozen
class StoredSettings:
    """The settings object at one version.

    Attributes:
        version: The platform's version of the object; 0 if it doesn't exist.
        tree: The canonical settings tree.
        changes: The last changes, oldest first.
        edition: The number that operators give to this state, which grows with
            each change; 0 if they give none.
    """

    version: int = 0
    tree: dict[str, Any] = attrs.field(factory=lambda: canonical({}))
    changes: tuple[Change, ...] = ()
    edition: int = 0

    @classmethod
    def from_value(
        cls, version: int, content: Any
    ) -> 'StoredSettings | list[Finding]':
        """Build the settings from the object's value.

        Returns:
            The settings, or every mistake in the value.
        """
        if not isinstance(content, dict) or _TREE not in content:
            problem = f'{format_value(content)} is not an object with a tree'
            return [Finding('settings', problem)]
        changes = content.get(_CHANGES, [])
        findings = check_tree(content[_TREE]) + _check_changes(changes)
        return findings or cls(
            version=version,
            tree=canonical(content[_TREE]),
            changes=tuple(Change.from_fields(entry) for entry in changes),
            edition=_edition_from(content.get(EDITION)),
        )

    def to_value(self) -> dict[str, Any]:
        """Return the value to store."""
        return {
            _TREE: self.tree,
            _CHANGES: [change.to_fields() for change in self.changes],
        }

    def with_change(self, change: Change) -> 'StoredSettings':
        """Return the settings after a change that is based on this version.

        The version stays the same until the platform has accepted the write.
        """
        assert change.base == self.version
        assert change.edits is not None
        return attrs.evolve(
            self,
            tree=apply_edits(self.tree, change.edits),
            changes=(*self.changes, change)[-MAX_CHANGES:],
        )

    def has_change(self, change_id: str) -> bool:
        """Return whether one of the last changes has this id."""
        return any(change.id == change_id for change in self.changes)

    def change_based_on(self, version: int) -> Change | None:
        """Return the change based on a version, if it is in the history."""
        for change in self.changes:
            if change.base == version:
                return change
        return None

    def tree_at(self, version: int) -> dict[str, Any] | None:
        """Return the tree of an earlier version.

        Returns:
            The tree; None if the history can't be reverted to that version.
        """
        if version == self.version:
            return self.tree
        tree: dict[str, Any] | None = self.tree
        for change in reversed(self.changes):
            if tree is None or change.edits is None:
                return None
            tree = revert_edits(tree, change.edits)
            if change.base == version:
                return tree
        return None


def _edition_from(content: Any) -> int:
    """Return an edition; 0 if it is missing or malformed."""
    is_integer = isinstance(content, int) and not isinstance(content, bool)
    return max(0, content) if is_integer else 0


def _edits_from(content: Any) -> tuple[Edit, ...] | None:
    """Return the edits of a change; None if they are missing or malformed."""
    if not isinstance(content, list):
        return None
    if not all(_is_edit(entry) for entry in content):
        return None
    return tuple(Edit.from_fields(entry) for entry in content)


def _is_edit(entry: Any) -> bool:
    path = entry.get('place') if isinstance(entry, dict) else None
    return isinstance(path, list) and bool(path)


def _check_changes(changes: Any) -> list[Finding]:
    if not isinstance(changes, list):
        return [Finding(_CHANGES, f'{format_value(changes)} is not a list')]
    return [
        Finding(f'changes[{index}].id', 'is required and must be a string')
        for index, entry in enumerate(changes)
        if not isinstance(entry, dict) or not isinstance(entry.get('id'), str)
    ]
