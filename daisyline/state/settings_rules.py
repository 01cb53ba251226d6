"""Rules for JSON values, and the mistakes that a value makes against them."""

import difflib
import functools
import re
import reprlib
from collections.abc import Iterator, Mapping
from typing import Any

import attrs

from daisyline.state.failures import Finding

# Keeps the search for the nearest name short when a key is very long.
MAX_COMPARED_LENGTH = 64
MAX_SHOWN_LENGTH = 80


@attrs.frozen
class WholeNumber:
    """A whole number in a range, both ends allowed."""

    least: int
    most: int


@attrs.frozen
class OneOf:
    """One of a few words."""

    allowed: tuple[str, ...]


@attrs.frozen
class YesOrNo:
    """True or false."""


@attrs.frozen
class Text:
    """A string of a form.

    Attributes:
        form: What it has to match as a whole.
        meaning: What the form is, for people.
    """

    form: 're.Pattern[str]'
    meaning: str


@attrs.frozen
class ListOf:
    """A list with no entry twice, each of which keeps a rule."""

    entry: Any


@attrs.frozen
class Section:
    """An object with a fixed set of keys.

    Attributes:
        rules: The rule of each key.
        needed: The keys that may not lack.
    """

    rules: Mapping[str, Any]
    needed: tuple[str, ...] = ()


@attrs.frozen
class Named:
    """An object whose keys are names that operators choose."""

    key: Text
    entry: Any


@functools.singledispatch
def findings_in(rule: Any, path: str, content: Any) -> Iterator[Finding]:
    """Yield every mistake of a value against a rule.

    Args:
        rule: One of the classes of this module.
        path: The path of the value in the settings tree.
        content: Any JSON value.
    """
    raise TypeError(rule)


@findings_in.register
def _in_number(rule: WholeNumber, path: str, content: Any) -> Iterator[Finding]:
    # JSON's true and false are numbers to this language.
    whole = isinstance(content, int) and not isinstance(content, bool)
    if not whole or not rule.least <= content <= rule.most:
        allowed = f'a whole number from {rule.least} to {rule.most}'
        yield Finding(path, f'{format_value(content)} is not {allowed}')


@findings_in.register
def _in_word(rule: OneOf, path: str, content: Any) -> Iterator[Finding]:
    if not isinstance(content, str) or content not in rule.allowed:
        allowed = ', '.join(rule.allowed)
        yield Finding(path, f'{format_value(content)} is none of {allowed}')


@findings_in.register
def _in_yes_or_no(rule: YesOrNo, path: str, content: Any) -> Iterator[Finding]:
    if not isinstance(content, bool):
        yield Finding(
            path, f'{format_value(content)} is neither true nor false'
        )


@findings_in.register
def _in_text(rule: Text, path: str, content: Any) -> Iterator[Finding]:
    if not isinstance(content, str) or not rule.form.fullmatch(content):
        yield Finding(path, f'{format_value(content)} is not {rule.meaning}')


@findings_in.register
def _in_list(rule: ListOf, path: str, content: Any) -> Iterator[Finding]:
    if not isinstance(content, list):
        yield Finding(path, f'{format_value(content)} is not a list')
        return
    seen = set()
    for index, entry in enumerate(content):
        inside = f'{path}[{index}]'
        yield from findings_in(rule.entry, inside, entry)
        if isinstance(entry, str) and entry in seen:
            yield Finding(inside, f'{format_value(entry)} stands twice')
        if isinstance(entry, str):
            seen.add(entry)


@findings_in.register
def _in_section(rule: Section, path: str, content: Any) -> Iterator[Finding]:
    if not isinstance(content, dict):
        yield Finding(
            path or 'tree', f'{format_value(content)} is not an object'
        )
        return
    for key, entry in content.items():
        inside = child_path(path, key)
        known = rule.rules.get(key)
        if known is None:
            hint = suggestion_for(key, rule.rules)
            yield Finding(inside, f'unknown key{hint}')
        else:
            yield from findings_in(known, inside, entry)
    for missing in rule.needed:
        if missing not in content:
            yield Finding(child_path(path, missing), 'is needed here')


@findings_in.register
def _in_named(rule: Named, path: str, content: Any) -> Iterator[Finding]:
    if not isinstance(content, dict):
        yield Finding(path, f'{format_value(content)} is not an object')
        return
    for key, entry in content.items():
        inside = child_path(path, key)
        yield from findings_in(rule.key, inside, key)
        yield from findings_in(rule.entry, inside, entry)


def child_path(path: str, key: str) -> str:
    """Return the place of a key in an object."""
    plain = bool(key) and str(key).isprintable()
    name = key if plain and len(key) <= MAX_SHOWN_LENGTH else format_value(key)
    return f'{path}.{name}' if path else name


def format_value(content: Any) -> str:
    """Return a value for a message, cut if it is long."""
    if not isinstance(content, str):
        return reprlib.repr(content)
    if len(content) <= MAX_SHOWN_LENGTH:
        return repr(content)
    start = content[:MAX_SHOWN_LENGTH]
    return f'{start!r}...'


def suggestion_for(name: Any, known: Mapping[str, Any]) -> str:
    """Return a hint at the known name that is most like this one."""
    close = difflib.get_close_matches(
        str(name)[:MAX_COMPARED_LENGTH], list(known), n=1
    )
    return f', did you mean {close[0]}?' if close else ''
