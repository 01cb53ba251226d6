"""Each test that the proofs page names exists."""

import ast
import pathlib
import re

from tests.support import function_tests

load_tests = function_tests(__name__)

ROOT = pathlib.Path(__file__).resolve().parent.parent


def _functions_of(module: pathlib.Path) -> set[str]:
    tree = ast.parse(module.read_text(encoding='utf-8'))
    return {
        node.name for node in tree.body if isinstance(node, ast.FunctionDef)
    }


def test_each_test_that_the_page_names_exists() -> None:
    page = (ROOT / 'docs' / 'proofs.md').read_text(encoding='utf-8')
    named = set(re.findall(r'`(test_\w+)`', page))
    modules = (ROOT / 'tests').rglob('test_*.py')
    existing = set().union(*map(_functions_of, modules))
    assert named
    assert not named - existing
