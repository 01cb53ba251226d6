"""Edits of a settings tree: finds, applies, reverts and compares them."""

import copy
import enum
from collections.abc import Iterator, Mapping
from typing import Any

import attrs

TreePath = tuple[str, ...]

_ROLLOUTS = 'rollouts'
_SERVICES = 'services'
_ZONES = 'zones'
_SECTIONS = ('defaults', _ZONES, _SERVICES, 'tenants', _ROLLOUTS)
_ROLLOUT_DEPTH = 2


class Absent(enum.Enum):
    """Marks a path without a value; JSON's null is a value."""

    ABSENT = 'absent'


ABSENT = Absent.ABSENT


@attrs.frozen
class Edit:
    """A change of the value at one path of the tree.

    Attributes:
        path: The keys that lead to it, from the root of the tree.
        old: The value before, or `ABSENT`.
        new: The value after, or `ABSENT`.
    """

    path: TreePath = attrs.field(converter=tuple)
    old: Any = ABSENT
    new: Any = ABSENT

    @classmethod
    def from_fields(cls, fields: Mapping[str, Any]) -> 'Edit':
        """Build an edit from its JSON form."""
        return cls(
            path=[str(key) for key in fields['place']],
            old=fields.get('old', ABSENT),
            new=fields.get('new', ABSENT),
        )

    @property
    def name(self) -> str:
        """Return the path as one string, its keys joined by dots."""
        return '.'.join(self.path)

    def to_fields(self) -> dict[str, Any]:
        """Return the JSON form; absent values are left out."""
        fields: dict[str, Any] = {'place': list(self.path)}
        for side in ('old', 'new'):
            content = getattr(self, side)
            if content is not ABSENT:
                fields[side] = content
        return fields

    def touches(self, other: 'Edit') -> bool:
        """Return whether one edit's path is equal to or inside the other's."""
        shared_length = min(len(self.path), len(other.path))
        return self.path[:shared_length] == other.path[:shared_length]


@attrs.frozen
class EditConflict:
    """Two edits that can't both be applied.

    Attributes:
        ours: The edit that is being made.
        theirs: The edit that is already in force.
    """

    ours: Edit
    theirs: Edit


def canonical(tree: Mapping[str, Any]) -> dict[str, Any]:
    """Return a copy of a checked tree in which every section is present.

    Without this, two operators who each add the first entry of a section
    would both edit the path of the section and conflict.
    """
    complete_tree = copy.deepcopy(dict(tree))
    for section in _SECTIONS:
        complete_tree.setdefault(section, {})
    for service in complete_tree[_SERVICES].values():
        service.setdefault(_ZONES, {})
    return complete_tree


def edits_between(
    old: Mapping[str, Any], new: Mapping[str, Any]
) -> tuple[Edit, ...]:
    """Return the edits that turn one canonical tree into another."""
    return tuple(_find_edits((), old, new))


def apply_edits(
    tree: Mapping[str, Any], edits: tuple[Edit, ...]
) -> dict[str, Any]:
    """Return a copy of a tree to which edits are applied."""
    edited = copy.deepcopy(dict(tree))
    for edit in edits:
        branch = edited
        for key in edit.path[:-1]:
            branch = branch.setdefault(key, {})
        if edit.new is ABSENT:
            branch.pop(edit.path[-1], None)
        else:
            branch[edit.path[-1]] = copy.deepcopy(edit.new)
    return edited


def revert_edits(
    tree: Mapping[str, Any], edits: tuple[Edit, ...]
) -> dict[str, Any] | None:
    """Return the tree before edits; None if it doesn't result from them."""
    if any(value_at(tree, edit.path) != edit.new for edit in edits):
        return None
    reverse_edits = tuple(
        Edit(edit.path, old=edit.new, new=edit.old) for edit in edits
    )
    return apply_edits(tree, reverse_edits)


def value_at(tree: Mapping[str, Any], path: TreePath) -> Any:
    """Return the value at a path, or `ABSENT`."""
    found: Any = tree
    for key in path:
        if not isinstance(found, Mapping) or key not in found:
            return ABSENT
        found = found[key]
    return found


def edit_conflicts(
    ours: tuple[Edit, ...], theirs: tuple[Edit, ...]
) -> list[EditConflict]:
    """Return each pair of edits that touch and differ in path or new value."""
    return [
        EditConflict(own_edit, other)
        for own_edit in ours
        for other in theirs
        if own_edit.touches(other) and not _has_same_result(own_edit, other)
    ]


def _has_same_result(own_edit: Edit, other: Edit) -> bool:
    return own_edit.path == other.path and own_edit.new == other.new


def _find_edits(path: TreePath, old: Any, new: Any) -> Iterator[Edit]:
    are_objects = isinstance(old, Mapping) and isinstance(new, Mapping)
    # A rollout is one edit: a mix of fields of two rollouts would be invalid.
    is_rollout = path[:1] == (_ROLLOUTS,) and len(path) == _ROLLOUT_DEPTH
    if are_objects and not is_rollout:
        for key in sorted({*old, *new}):
            entry_path = (*path, key)
            yield from _find_edits(
                entry_path, old.get(key, ABSENT), new.get(key, ABSENT)
            )
    elif old != new:
        yield Edit(path, old, new)
