"""The settings page lists the limits and flags of the program."""

import json
import pathlib
import re
from collections.abc import Iterator

import attrs

from daisyline.programs.node_settings import NodeSettings
from daisyline.state.limits import MAXIMUM, MINIMUM, Limits
from daisyline.state.settings_check import check_tree
from tests.support import fixture, function_tests

load_tests = function_tests(__name__)

Rows = dict[str, list[str]]

DOCS = pathlib.Path(__file__).resolve().parent.parent / 'docs'


@fixture
def rows() -> Iterator[Rows]:
    """Provide the rows of the page's tables, by their first cell."""
    text = (DOCS / 'settings.md').read_text(encoding='utf-8')
    found: Rows = {}
    for line in text.splitlines():
        cells = [cell.strip() for cell in line.strip('|').split('|')]
        if line.startswith('| `'):
            found[cells[0].strip('`')] = cells[1:]
    yield found


def test_each_limit_is_listed_with_its_default_and_range(rows: Rows) -> None:
    for field in attrs.fields(Limits):
        default, allowed = rows[field.name][:2]
        minimum, maximum = map(field.metadata.get, (MINIMUM, MAXIMUM))
        if isinstance(field.default, int):
            assert default == str(field.default)
            assert allowed == f'{minimum} to {maximum}'
        elif isinstance(field.default, tuple):
            assert default == ', '.join(field.default)
        else:
            assert default == field.default


def test_each_flag_of_a_node_is_listed_with_its_default(rows: Rows) -> None:
    for field in attrs.fields(NodeSettings):
        dashed = field.name.replace('_', '-')
        needed = field.default is attrs.NOTHING
        default = 'needed' if needed else str(field.default)
        # The page writes an empty list as none.
        if field.default == ():
            default = 'none'
        assert rows[f'--{dashed}'][0] == default


def test_the_page_lists_no_unknown_limit_or_flag(rows: Rows) -> None:
    limits = {field.name for field in attrs.fields(Limits)}
    names = [field.name for field in attrs.fields(NodeSettings)]
    flags = {f'--{name}'.replace('_', '-') for name in names}
    words = {name for name in rows if re.fullmatch('[a-z_]+|--[a-z-]+', name)}
    assert words - {'cluster', 'defaults'} == limits | flags


def test_the_example_is_valid() -> None:

    text = (DOCS / 'settings.md').read_text(encoding='utf-8')
    example = text.split('```json')[1].split('```')[0]
    assert check_tree(json.loads(example)) == []
