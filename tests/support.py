"""Run test functions with shared fixtures under unittest."""

import contextlib
import functools
import inspect
import sys
import unittest
from collections.abc import Callable, Iterator
from typing import Any


@functools.cache
def _fixtures() -> dict[str, Callable[..., Any]]:
    """Return the one table of fixtures, by name."""
    return {}


def fixture(function: Callable[..., Iterator[Any]]) -> Callable[..., Any]:
    """Register a generator function as the fixture of its name."""
    if function.__name__ in _fixtures():
        raise ValueError(f'two fixtures are named {function.__name__}')
    _fixtures()[function.__name__] = contextlib.contextmanager(function)
    return function


def function_tests(module_name: str) -> Callable[..., unittest.TestSuite]:
    """Make the `load_tests` hook of a module of test functions.

    A parameter of a test function, or of a fixture, names the fixture that
    it receives.
    """

    def load_tests(*_ignored: object) -> unittest.TestSuite:
        module = sys.modules[module_name]
        functions = inspect.getmembers(module, inspect.isfunction)
        return unittest.TestSuite(
            _case(module_name, function)
            for name, function in functions
            if name.startswith('test_')
        )

    return load_tests


def _case(module_name: str, function: Callable[..., None]) -> unittest.TestCase:
    @functools.wraps(function)
    def run() -> None:
        with contextlib.ExitStack() as stack:
            function(**_enter(stack, function, {}))

    case = unittest.FunctionTestCase(run)
    label = f'{module_name}.{function.__name__}'
    case.id = lambda: label  # type: ignore[method-assign]
    return case


def _enter(
    stack: contextlib.ExitStack,
    function: Callable[..., Any],
    made: dict[str, Any],
) -> dict[str, Any]:
    """Return the fixtures a function names, each made once a test."""
    arguments = {}
    for name in inspect.signature(function).parameters:
        if name not in made:
            factory = _fixtures()[name]
            needed = _enter(stack, inspect.unwrap(factory), made)
            made[name] = stack.enter_context(factory(**needed))
        arguments[name] = made[name]
    return arguments
