"""
Pattern: packages that an earlier build left are incomplete or not for this machine.

The build of the deploy file replaces them. `pip` is a stand-in: no network is needed.
"""

import contextlib
import os
import shutil
import subprocess
import sys
import tempfile
import time
import tomllib
import unittest
from collections.abc import Iterator
from pathlib import Path

from tests.common import ROOT, function_suite

BUILD_TIMEOUT_S = 60.0
OLDER_S = 3600.0

PIP = """
import os, pathlib, signal, sys
folder = pathlib.Path(sys.argv[sys.argv.index("--target") + 1])
folder.mkdir(parents=True, exist_ok=True)
with open(os.environ["INSTALLS"], "a") as installs:
    installs.write("install\\n")
(folder / "first.py").touch()
if "KILLED" in os.environ:
    os.kill(os.getpid(), signal.SIGKILL)
(folder / "second.py").touch()
"""
"""A `pip` that counts its installs; with KILLED it ends halfway."""

OTHER_MACHINE = """
import os, sysconfig
if "PLATFORM" in os.environ:
    sysconfig.get_platform = lambda: os.environ["PLATFORM"]
if "ABI" in os.environ:
    sysconfig.get_config_vars()["SOABI"] = os.environ["ABI"]
"""
"""A `sitecustomize` for the kind of machine and Python version of the environment."""


class _Checkout:
    """A copy of what the build needs, and a `pip` beside it."""

    def __init__(self, folder: Path) -> None:
        self.root = folder / "checkout"
        self.packages = self.root / "target/deps"
        self.requirements = self.root / "requirements.txt"
        self._installs = folder / "installs"
        self._modules = folder / "modules"
        self._programs = folder / "programs"
        (self._modules / "pip").mkdir(parents=True)
        # Without it the real `pip` would be found first.
        (self._modules / "pip/__init__.py").touch()
        (self._modules / "pip/__main__.py").write_text(PIP)
        (self._modules / "sitecustomize.py").write_text(OTHER_MACHINE)
        self._programs.mkdir()
        (self._programs / "python3").symlink_to(sys.executable)
        shutil.copytree(ROOT / "deploy", self.root / "deploy")
        self.requirements.write_text("first\nsecond\n")

    def build(self, **variables: str) -> subprocess.CompletedProcess[str]:
        """Run the build of the deploy file in an environment without other names."""
        deploy_file = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        return subprocess.run(
            ["sh", "-c", deploy_file["build"]],
            cwd=self.root,
            env={
                "PATH": f"{self._programs}:{os.defpath}",
                "HOME": str(self.root),
                "LANG": "C.UTF-8",
                "PYTHONPATH": str(self._modules),
                "PIP_NO_INDEX": "1",
                "INSTALLS": str(self._installs),
                **variables,
            },
            capture_output=True,
            text=True,
            timeout=BUILD_TIMEOUT_S,
            check=False,
        )

    @property
    def installs(self) -> int:
        """How often packages were installed."""
        return len(self._installs.read_text().splitlines())

    def installed(self) -> set[str]:
        """Return the names of the modules in place."""
        return {path.stem for path in self.packages.glob("*.py")}


@contextlib.contextmanager
def _checkout() -> Iterator[_Checkout]:
    with tempfile.TemporaryDirectory() as folder:
        yield _Checkout(Path(folder))


# A folder newer than the requirements passed as complete, so that no start succeeded.
def test_a_build_replaces_packages_that_no_start_could_use() -> None:
    """An install was killed, or was for another machine, Python or requirements."""
    for variables, may_fail in (
        ({"KILLED": "yes"}, True),
        ({"PLATFORM": "linux-other"}, False),
        ({"ABI": "cpython-30-other-linux-gnu"}, False),
        ({}, False),
    ):
        with _checkout() as checkout:
            earlier = checkout.build(**variables)
            assert may_fail or earlier.returncode == 0, (variables, earlier)
            if not variables:
                checkout.requirements.write_text("first\nsecond # newer version\n")
                past = time.time() - OLDER_S
                os.utime(checkout.requirements, (past, past))
            result = checkout.build()
            assert result.returncode == 0, (variables, result)
            assert checkout.installs == 2, variables
            assert checkout.installed() == {"first", "second"}, variables


# The half of an interrupted install stayed in place.
def test_a_failed_build_says_so_and_leaves_no_packages() -> None:
    """Neither does it harm the packages of an earlier build."""
    with _checkout() as checkout:
        result = checkout.build(KILLED="yes")
        assert result.returncode != 0
        assert "pip" in result.stderr, result
        assert checkout.installed() == set()
        checkout.build()
        checkout.requirements.write_text("second\n")
        assert checkout.build(KILLED="yes").returncode != 0
        assert checkout.installed() == {"first", "second"}


def test_a_second_build_installs_nothing() -> None:
    """Nor does it leave anything else behind."""
    with _checkout() as checkout:
        assert checkout.build().returncode == 0
        names = set((checkout.root / "target").iterdir())
        assert checkout.build().returncode == 0
        assert checkout.installs == 1
        assert set((checkout.root / "target").iterdir()) == names


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
