"""
Pattern: a start has little processor time, and the tree was copied after the build.

The build of the deploy file compiles the modules, so that no start has to.
"""

import contextlib
import importlib.util
import os
import shutil
import subprocess
import sys
import tempfile
import unittest
from collections.abc import Iterator
from pathlib import Path

from tests.common import ROOT, function_suite

BUILD_TIMEOUT_S = 60.0
LATER_S = 100.0

BUILD = """
import runpy, sys
build = runpy.run_path(sys.argv[1])
build["compile_modules"]()
"""
IMPORT = "import damaskbay.module as module; print(module.VALUE)"
COMPILES = "# code object from"
"""What `python3 -v` says of a module that it has to compile."""


@contextlib.contextmanager
def _tree() -> Iterator[Path]:
    """Return the root of a tree with one module and the build."""
    with tempfile.TemporaryDirectory() as folder:
        root = Path(folder)
        shutil.copytree(ROOT / "deploy", root / "deploy")
        (root / "damaskbay").mkdir()
        (root / "damaskbay/module.py").write_text("VALUE = 1\n")
        yield root


def _run(root: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-S", *arguments],
        cwd=root,
        env={"PYTHONDONTWRITEBYTECODE": "1"},
        capture_output=True,
        text=True,
        timeout=BUILD_TIMEOUT_S,
        check=False,
    )


def _build(root: Path) -> subprocess.CompletedProcess[str]:
    return _run(root, "-c", BUILD, "deploy/build.py")


# Each start of a tree without compiled modules compiled more than a hundred of them.
def test_a_start_after_the_build_compiles_nothing() -> None:
    """Also if the times of the sources have changed since."""
    with _tree() as root:
        module = root / "damaskbay/module.py"
        assert COMPILES in _run(root, "-v", "-c", IMPORT).stderr
        result = _build(root)
        assert (result.returncode, result.stderr) == (0, ""), result
        later = module.stat().st_mtime + LATER_S
        os.utime(module, (later, later))
        imported = _run(root, "-v", "-c", IMPORT)
        assert imported.stdout == "1\n", imported
        assert f"{COMPILES} {module}" not in imported.stderr


def test_a_changed_module_is_not_taken_from_the_build() -> None:
    """Neither with the size nor with the times of the earlier one."""
    with _tree() as root:
        _build(root)
        module = root / "damaskbay/module.py"
        before = module.stat()
        module.write_text("VALUE = 2\n")
        os.utime(module, (before.st_atime, before.st_mtime))
        assert _run(root, "-c", IMPORT).stdout == "2\n"


def test_a_build_that_cannot_write_beside_the_sources_succeeds() -> None:
    """It says so, and a start compiles by itself."""
    with _tree() as root:
        module = root / "damaskbay/module.py"
        cache = Path(importlib.util.cache_from_source(str(module))).parent
        cache.write_text("in the way")
        result = _build(root)
        assert result.returncode == 0, result
        assert "processor time" in result.stderr, result
        assert _run(root, "-c", IMPORT).stdout == "1\n"


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
