"""
Pattern: a machine lacks what the interpreter of the deploy file is built with.

The build succeeds nevertheless, says so, and the daemon starts.
"""

import os
import shutil
import subprocess
import sys
import sysconfig
import tempfile
import unittest
from pathlib import Path

from damaskbay.platform.const import SETTINGS_VARIABLE
from damaskbay.platform.daemon import EXIT_INVALID
from tests.common import ROOT, built_interpreter, function_suite

BUILD_TIMEOUT_S = 60.0
ENTRY_FILE = "damaskbay/platform/__main__.py"

CHANGED_LIBRARY = """
import os, sysconfig
if "LIBRARY" in os.environ:
    sysconfig.get_config_vars()["INSTSONAME"] = os.environ["LIBRARY"]
"""
"""A `sitecustomize` for another name of the interpreter's library."""

REPORT_SIGNALS = """
import _signal
print(sorted(_signal.pthread_sigmask(_signal.SIG_BLOCK, ())))
"""

CALL_DEEPLY = """
import os, resource
items = iter([1])
for _ in range(4000):
    items = filter(None, items)
size = int(open("/proc/self/statm").read().split()[0]) * resource.getpagesize()
resource.setrlimit(resource.RLIMIT_AS, (size, resource.RLIM_INFINITY))
next(items)
os._exit(0)
"""
"""A program that needs more stack when no address space is left."""


def _build(target: Path, **variables: str) -> subprocess.CompletedProcess[str]:
    """Build the interpreter into a folder."""
    (target / "sitecustomize.py").write_text(CHANGED_LIBRARY)
    build = [sys.executable, f"{ROOT}/deploy/build.py", "--interpreter-only"]
    return subprocess.run(
        [*build, f"--target={target}"],
        env={"PATH": os.environ["PATH"], "PYTHONPATH": str(target), **variables},
        capture_output=True,
        text=True,
        timeout=BUILD_TIMEOUT_S,
        check=False,
    )


def _run(program: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run an interpreter at the root, with the packages of the tests on its path."""
    environment = {k: v for k, v in os.environ.items() if k != SETTINGS_VARIABLE}
    packages = sysconfig.get_path("purelib")
    return subprocess.run(
        [program, "-S", *arguments],
        cwd=ROOT,
        env={**environment, "PYTHONPATH": packages},
        capture_output=True,
        text=True,
        timeout=BUILD_TIMEOUT_S,
        check=False,
    )


def _assert_starts(program: Path) -> None:
    """Assert that the daemon gets as far as its settings."""
    result = _run(program, ENTRY_FILE)
    assert result.returncode == EXIT_INVALID, result
    assert result.stderr.startswith(SETTINGS_VARIABLE), result


# The interpreter let signals end the process until its first line had run.
def test_the_interpreter_starts_with_signals_blocked() -> None:
    """SIGHUP, SIGINT and SIGTERM; the build says nothing."""
    with tempfile.TemporaryDirectory() as folder:
        result = _build(Path(folder))
        assert (result.returncode, result.stderr) == (0, "")
        program = Path(folder, "python3")
        assert _run(program, "-c", REPORT_SIGNALS).stdout == "[1, 2, 15]\n"
        _assert_starts(program)


# A process whose stack found no address space ended with SIGSEGV.
def test_the_stack_grows_without_address_space() -> None:
    """The interpreter has reserved it."""
    result = _run(built_interpreter(), "-c", CALL_DEEPLY)
    assert result.returncode == 0, result


# A machine without a compiler or the interpreter's library could not run the system.
def test_the_daemon_starts_without_what_the_interpreter_is_built_with() -> None:
    """No compiler, no library, or one that is not the interpreter's."""
    for variables, why in (
        ({"PATH": "none"}, "no C compiler"),
        ({"LIBRARY": "libother.so"}, "not installed"),
        ({"LIBRARY": "libother.a"}, "not installed"),
        ({"LIBRARY": "wrong"}, "failed"),
    ):
        with tempfile.TemporaryDirectory() as folder:
            target = Path(folder)
            if why == "failed":
                library = target / "libwrong.so"
                library.write_bytes(b"no library")
                variables = {"LIBRARY": str(library)}
            result = _build(target, **variables)
            assert result.returncode == 0, result
            assert why in result.stderr, (variables, result)
            _assert_starts(target / "python3")


# A library that was moved or replaced after the build ended every start.
def test_the_daemon_starts_where_the_library_of_the_build_is_missing() -> None:
    """It runs the program of the interpreter; without that it ends and says so."""
    with tempfile.TemporaryDirectory() as folder:
        program = Path(folder, "python3")
        _compile("-o", str(program), library="/missing", executable=sys.executable)
        assert _run(program, "-c", REPORT_SIGNALS).stdout == "[1, 2, 15]\n"
        result = _run(program, ENTRY_FILE)
        assert result.returncode == EXIT_INVALID, result
        assert SETTINGS_VARIABLE in result.stderr, result
        _compile("-o", str(program), library="/missing", executable="/missing/python3")
        result = _run(program, ENTRY_FILE)
        assert result.returncode == 1, result
        assert "/missing/python3" in result.stderr, result


def test_the_interpreter_compiles_without_warnings() -> None:
    """Any warning is an error here; the build only prints them."""
    _compile("-fsyntax-only", library="x", executable="x")


def _compile(*options: str, library: str, executable: str) -> None:
    """Compile the interpreter for a library and a program."""
    compiler = shutil.which("cc")
    assert compiler is not None, "gcc and libc6-dev are in deploy/system.toml"
    command = [compiler, "-std=c11", "-Wall", "-Wextra", "-Werror", *options]
    definitions = {"PYTHON_LIBRARY": library, "PYTHON_EXECUTABLE": executable}
    command += [f'-D{name}="{value}"' for name, value in definitions.items()]
    command += ["deploy/python3.c", "-ldl"]
    subprocess.run(command, cwd=ROOT, check=True, timeout=BUILD_TIMEOUT_S)


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
