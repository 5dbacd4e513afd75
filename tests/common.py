"""Loader for test functions."""

import unittest
from collections.abc import Callable
from typing import Any


class _FunctionTestCase(unittest.FunctionTestCase):
    """A test function whose id contains its module."""

    def __init__(self, function: Callable[[], None]) -> None:
        super().__init__(function)
        self._qualified_name = f"{function.__module__}.{function.__name__}"

    def id(self) -> str:
        return self._qualified_name

    def __str__(self) -> str:
        return self._qualified_name

    def shortDescription(self) -> None:  # noqa: N802
        return None


def function_suite(namespace: dict[str, Any]) -> unittest.TestSuite:
    """Return a suite of all functions of a module whose names start with `test_`."""
    functions = [
        item
        for name, item in namespace.items()
        if name.startswith("test_") and callable(item)
    ]
    return unittest.TestSuite(_FunctionTestCase(item) for item in functions)
