"""Rules for JSON values, and the check of a value against a rule."""

import difflib
import functools
import re
import reprlib
from collections.abc import Iterator, Mapping
from typing import Any

import attrs

from daisyline.state.failures import Finding

# Longer names are cut before the search for a similar one, to bound its time.
MAX_COMPARED_LENGTH = 64
MAX_SHOWN_LENGTH = 80


@attrs.frozen
class IntegerRange:
    """Rule: an integer from `minimum` to `maximum`, both included."""

    minimum: int
    maximum: int


@attrs.frozen
class OneOf:
    """Rule: one of the allowed strings."""

    allowed: tuple[str, ...]


@attrs.frozen
class Boolean:
    """Rule: true or false."""


@attrs.frozen
class Pattern:
    """Rule: a string that matches a pattern.

    Attributes:
        pattern: The regular expression that the whole string has to match.
        description: What the pattern allows, for error messages.
    """

    pattern: 're.Pattern[str]'
    description: str


@attrs.frozen
class Secret:
    """Rule: a value that findings never show.

    Attributes:
        rule: The rule that the value follows.
        description: What is allowed, for error messages.
    """

    rule: Any
    description: str


@attrs.frozen
class Problems:
    """Rule: problems that were found before, by their paths.

    A translation to a settings tree lists here what it can't put into the
    tree; each problem is a violation.
    """


@attrs.frozen
class UniqueList:
    """Rule: a list without duplicates whose entries follow a rule."""

    entry: Any


@attrs.frozen
class Section:
    """Rule: an object with a fixed set of keys.

    Attributes:
        rules: The rule of each key's value.
        required: The keys that have to be present.
        is_secret: Whether a value that is no object may hold a secret, which
            findings must not show.
    """

    rules: Mapping[str, Any]
    required: tuple[str, ...] = ()
    is_secret: bool = False


@attrs.frozen
class NamedEntries:
    """Rule: an object whose keys are names that operators choose.

    Attributes:
        key: The rule of each key.
        entry: The rule of each value.
        is_secret: Whether a value that is no object may hold a secret, which
            findings must not show.
    """

    key: Pattern
    entry: Any
    is_secret: bool = False


@functools.singledispatch
def check_value(rule: Any, path: str, content: Any) -> Iterator[Finding]:
    """Yield every violation of a rule in a value.

    Args:
        rule: An instance of one of the rules of this module.
        path: The path of the value in the settings tree.
        content: Any JSON value.

    Raises:
        TypeError: If the rule is of another kind.
    """
    raise TypeError(rule)


@check_value.register
def _check_integer(
    rule: IntegerRange, path: str, content: Any
) -> Iterator[Finding]:
    # JSON's true and false are read as bool, which is a subclass of int.
    is_integer = isinstance(content, int) and not isinstance(content, bool)
    if not is_integer or not rule.minimum <= content <= rule.maximum:
        allowed = f'a whole number from {rule.minimum} to {rule.maximum}'
        yield Finding(path, f'{format_value(content)} is not {allowed}')


@check_value.register
def _check_choice(rule: OneOf, path: str, content: Any) -> Iterator[Finding]:
    if not isinstance(content, str) or content not in rule.allowed:
        allowed = ', '.join(rule.allowed)
        yield Finding(path, f'{format_value(content)} is not one of {allowed}')


@check_value.register
def _check_boolean(rule: Boolean, path: str, content: Any) -> Iterator[Finding]:
    if not isinstance(content, bool):
        yield Finding(
            path, f'{format_value(content)} is neither true nor false'
        )


@check_value.register
def _check_pattern(rule: Pattern, path: str, content: Any) -> Iterator[Finding]:
    if not isinstance(content, str) or not rule.pattern.fullmatch(content):
        yield Finding(
            path, f'{format_value(content)} is not {rule.description}'
        )


@check_value.register
def _check_secret(rule: Secret, path: str, content: Any) -> Iterator[Finding]:
    for finding in check_value(rule.rule, path, content):
        yield Finding(finding.path, f'is not {rule.description}')


@check_value.register
def _check_problems(
    rule: Problems, path: str, content: Any
) -> Iterator[Finding]:
    if not isinstance(content, dict):
        yield Finding(path, 'is not an object')
        return
    for problem_path, problem in content.items():
        text = str(problem)[:MAX_SHOWN_LENGTH] or 'is not valid'
        yield Finding(problem_path[:MAX_SHOWN_LENGTH] or path, text)


@check_value.register
def _check_list(rule: UniqueList, path: str, content: Any) -> Iterator[Finding]:
    if not isinstance(content, list):
        yield Finding(path, f'{format_value(content)} is not a list')
        return
    seen = set()
    for index, entry in enumerate(content):
        entry_path = f'{path}[{index}]'
        yield from check_value(rule.entry, entry_path, entry)
        if isinstance(entry, str) and entry in seen:
            yield Finding(entry_path, f'{format_value(entry)} is listed twice')
        if isinstance(entry, str):
            seen.add(entry)


@check_value.register
def _check_section(rule: Section, path: str, content: Any) -> Iterator[Finding]:
    if not isinstance(content, dict):
        yield Finding(path or 'tree', _not_an_object(rule, content))
        return
    for key, entry in content.items():
        entry_path = child_path(path, key)
        rule_of_key = rule.rules.get(key)
        if rule_of_key is None:
            hint = suggestion_for(key, rule.rules)
            yield Finding(entry_path, f'unknown key{hint}')
        else:
            yield from check_value(rule_of_key, entry_path, entry)
    for missing in rule.required:
        if missing not in content:
            yield Finding(child_path(path, missing), 'is required')


@check_value.register
def _check_named_entries(
    rule: NamedEntries, path: str, content: Any
) -> Iterator[Finding]:
    if not isinstance(content, dict):
        yield Finding(path, _not_an_object(rule, content))
        return
    for key, entry in content.items():
        entry_path = child_path(path, key)
        yield from check_value(rule.key, entry_path, key)
        yield from check_value(rule.entry, entry_path, entry)


def _not_an_object(rule: Section | NamedEntries, content: Any) -> str:
    if rule.is_secret:
        return 'is not an object'
    return f'{format_value(content)} is not an object'


def child_path(path: str, key: str) -> str:
    """Return the path of a key in the object at `path`.

    A key that is long or not printable is shown quoted and cut.
    """
    is_plain = bool(key) and str(key).isprintable()
    name = (
        key if is_plain and len(key) <= MAX_SHOWN_LENGTH else format_value(key)
    )
    return f'{path}.{name}' if path else name


def format_value(content: Any) -> str:
    """Return a value in the form for messages, cut if it is long."""
    if not isinstance(content, str):
        return reprlib.repr(content)
    if len(content) <= MAX_SHOWN_LENGTH:
        return repr(content)
    start = content[:MAX_SHOWN_LENGTH]
    return f'{start!r}...'


def suggestion_for(name: Any, known: Mapping[str, Any]) -> str:
    """Return `, did you mean ...?` with the most similar known name.

    Returns:
        The end of a message; empty if no known name is similar.
    """
    matches = difflib.get_close_matches(
        str(name)[:MAX_COMPARED_LENGTH], list(known), n=1
    )
    return f', did you mean {matches[0]}?' if matches else ''
