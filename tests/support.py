"""Run test functions with shared fixtures under unittest."""

import contextlib
import functools
import inspect
import sys
import unittest
from collections.abc import Callable, Iterator
from typing import Any

from hypothesis import HealthCheck, settings

# Time limits of hypothesis would let the speed of the machine decide whether a
# test passes.
settings.register_profile(
    'no-time-limits',
    deadline=None,
    suppress_health_check=(HealthCheck.too_slow,),
)
settings.load_profile('no-time-limits')


@functools.cache
def _fixtures() -> dict[str, Callable[..., Any]]:
    """Return the table of all fixtures, by name."""
    return {}


def fixture(function: Callable[..., Iterator[Any]]) -> Callable[..., Any]:
    """Register a generator function as the fixture with its name.

    Raises:
        ValueError: If the name is already taken.
    """
    if function.__name__ in _fixtures():
        raise ValueError(f'two fixtures are named {function.__name__}')
    _fixtures()[function.__name__] = contextlib.contextmanager(function)
    return function


def function_tests(module_name: str) -> Callable[..., unittest.TestSuite]:
    """Return the `load_tests` hook for a module of test functions.

    Each parameter of a test function or a fixture receives the fixture of
    its name.
    """

    def load_tests(*_ignored: object) -> unittest.TestSuite:
        module = sys.modules[module_name]
        functions = inspect.getmembers(module, inspect.isfunction)
        return unittest.TestSuite(
            _test_case(module_name, function)
            for name, function in functions
            if name.startswith('test_')
        )

    return load_tests


def _test_case(
    module_name: str, function: Callable[..., None]
) -> unittest.TestCase:
    @functools.wraps(function)
    def run() -> None:
        with contextlib.ExitStack() as stack:
            function(**_enter_fixtures(stack, function, {}))

    case = unittest.FunctionTestCase(run)
    label = f'{module_name}.{function.__name__}'
    case.id = lambda: label  # type: ignore[method-assign]
    return case


def _enter_fixtures(
    stack: contextlib.ExitStack,
    function: Callable[..., Any],
    entered: dict[str, Any],
) -> dict[str, Any]:
    """Enter and return a function's fixtures, each once for a test."""
    arguments = {}
    for name in inspect.signature(function).parameters:
        if name not in entered:
            factory = _fixtures()[name]
            needed = _enter_fixtures(stack, inspect.unwrap(factory), entered)
            entered[name] = stack.enter_context(factory(**needed))
        arguments[name] = entered[name]
    return arguments
