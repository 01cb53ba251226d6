"""The page on settings says what the program does."""

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
    """Give the page's table rows, by their first cell."""
    text = (DOCS / 'settings.md').read_text(encoding='utf-8')
    found: Rows = {}
    for line in text.splitlines():
        cells = [cell.strip() for cell in line.strip('|').split('|')]
        if line.startswith('| `'):
            found[cells[0].strip('`')] = cells[1:]
    yield found


def test_each_limit_stands_with_its_default_and_range(rows: Rows) -> None:
    for field in attrs.fields(Limits):
        default, allowed = rows[field.name][:2]
        least, most = map(field.metadata.get, (MINIMUM, MAXIMUM))
        if isinstance(field.default, int):
            assert default == str(field.default)
            assert allowed == f'{least} to {most}'
        elif isinstance(field.default, tuple):
            assert default == ', '.join(field.default)
        else:
            assert default == field.default


def test_each_flag_of_a_node_stands_with_its_default(rows: Rows) -> None:
    for field in attrs.fields(NodeSettings):
        dashed = field.name.replace('_', '-')
        needed = field.default is attrs.NOTHING
        default = 'needed' if needed else str(field.default)
        # A page for people calls the empty list none.
        if field.default == ():
            default = 'none'
        assert rows[f'--{dashed}'][0] == default


def test_the_page_names_no_limit_or_flag_that_is_gone(rows: Rows) -> None:
    limits = {field.name for field in attrs.fields(Limits)}
    names = [field.name for field in attrs.fields(NodeSettings)]
    flags = {f'--{name}'.replace('_', '-') for name in names}
    words = {name for name in rows if re.fullmatch('[a-z_]+|--[a-z-]+', name)}
    assert words - {'cluster', 'defaults'} == limits | flags


def test_the_example_has_no_mistakes() -> None:

    text = (DOCS / 'settings.md').read_text(encoding='utf-8')
    example = text.split('```json')[1].split('```')[0]
    assert check_tree(json.loads(example)) == []
