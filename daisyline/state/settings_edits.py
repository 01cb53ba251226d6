"""Edits of a settings tree: find, apply, revert and compare them."""

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
    """Stands where a place has no value; JSON's null is a value."""

    ABSENT = 'absent'


ABSENT = Absent.ABSENT


@attrs.frozen
class Edit:
    """One place of the tree with its value before and after.

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
        """Return the place as one word."""
        return '.'.join(self.path)

    def to_fields(self) -> dict[str, Any]:
        """Return the JSON form, from which an absent value is left out."""
        fields: dict[str, Any] = {'place': list(self.path)}
        for side in ('old', 'new'):
            content = getattr(self, side)
            if content is not ABSENT:
                fields[side] = content
        return fields

    def touches(self, other: 'Edit') -> bool:
        """Return whether one of two edits stands at or inside the other."""
        shared = min(len(self.path), len(other.path))
        return self.path[:shared] == other.path[:shared]


@attrs.frozen
class EditConflict:
    """Two edits of one place that can't both hold."""

    ours: Edit
    theirs: Edit


def canonical(tree: Mapping[str, Any]) -> dict[str, Any]:
    """Return a copy of a checked tree in which every section is present.

    Two operators who add the first entries of a section then edit different
    places.
    """
    whole = copy.deepcopy(dict(tree))
    for section in _SECTIONS:
        whole.setdefault(section, {})
    for service in whole[_SERVICES].values():
        service.setdefault(_ZONES, {})
    return whole


def edits_between(
    old: Mapping[str, Any], new: Mapping[str, Any]
) -> tuple[Edit, ...]:
    """Return what leads from one canonical tree to another."""
    return tuple(_walk((), old, new))


def apply_edits(
    tree: Mapping[str, Any], edits: tuple[Edit, ...]
) -> dict[str, Any]:
    """Return a copy of a tree with edits made in it."""
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
    """Return the tree before edits; None if they don't lead to this tree."""
    if any(value_at(tree, edit.path) != edit.new for edit in edits):
        return None
    backwards = tuple(
        Edit(edit.path, old=edit.new, new=edit.old) for edit in edits
    )
    return apply_edits(tree, backwards)


def value_at(tree: Mapping[str, Any], path: TreePath) -> Any:
    """Return the value at a place, or `ABSENT`."""
    found: Any = tree
    for key in path:
        if not isinstance(found, Mapping) or key not in found:
            return ABSENT
        found = found[key]
    return found


def edit_conflicts(
    ours: tuple[Edit, ...], theirs: tuple[Edit, ...]
) -> list[EditConflict]:
    """Return where two operators edited the same place to different ends."""
    return [
        EditConflict(mine, other)
        for mine in ours
        for other in theirs
        if mine.touches(other) and not _same_end(mine, other)
    ]


def _same_end(mine: Edit, other: Edit) -> bool:
    return mine.path == other.path and mine.new == other.new


def _walk(path: TreePath, old: Any, new: Any) -> Iterator[Edit]:
    nested = isinstance(old, Mapping) and isinstance(new, Mapping)
    # Half of one rollout and half of another make no sense together.
    whole = path[:1] == (_ROLLOUTS,) and len(path) == _ROLLOUT_DEPTH
    if nested and not whole:
        for key in sorted({*old, *new}):
            inside = (*path, key)
            yield from _walk(inside, old.get(key, ABSENT), new.get(key, ABSENT))
    elif old != new:
        yield Edit(path, old, new)
