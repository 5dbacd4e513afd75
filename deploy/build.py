"""
Install the packages, build the interpreter and compile the modules of a start.

Packages and interpreter are placed under `target/`, compiled modules beside their
sources. All are made for the interpreter that runs this file.
"""

import argparse
import compileall
import contextlib
import fcntl
import hashlib
import json
import py_compile
import shutil
import subprocess
import sys
import sysconfig
import tempfile
from collections.abc import Iterator, Sequence
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
REQUIREMENTS = ROOT / "requirements.txt"
SOURCE = ROOT / "deploy/python3.c"
MODULES = ROOT / "damaskbay"

LEFTOVER_PREFIX = "unfinished-"
STAMP_NAME = "build-stamp.json"

IDENTIFY = """
import sys
implementation = sys.implementation
print(sys.hexversion, sys.abiflags, implementation.cache_tag, implementation._multiarch)
print(sys.executable, sys.prefix, sys.exec_prefix, sys.base_prefix, sys.path)
"""
"""Python code whose output is the same if two programs are the same interpreter."""


class BuildError(Exception):
    """A step of the build failed; the message says which one and why."""


def log(message: str) -> None:
    """Write a line to standard error."""
    print(f"build: {message}", file=sys.stderr, flush=True)


@contextlib.contextmanager
def lock_folder(folder: Path) -> Iterator[None]:
    """Make the folder and let only one build at a time change what is in it."""
    folder.mkdir(parents=True, exist_ok=True)
    with (folder / "build.lock").open("w") as lock_file:
        fcntl.flock(lock_file, fcntl.LOCK_EX)
        yield


def remove_leftovers(target: Path) -> None:
    """Remove what builds that were killed left behind."""
    for folder in target.glob(f"{LEFTOVER_PREFIX}*"):
        try:
            shutil.rmtree(folder)
        except OSError as error:
            log(f"{folder} is left behind: {error}")


@contextlib.contextmanager
def unfinished_folder(target: Path) -> Iterator[Path]:
    """Return a folder beside the results, for a rename into place at the end."""
    with tempfile.TemporaryDirectory(prefix=LEFTOVER_PREFIX, dir=target) as folder:
        yield Path(folder)


def package_stamp() -> str:
    """Return what installed packages depend on: requirements, Python and machine."""
    stamp = {
        "requirements": hashlib.sha256(REQUIREMENTS.read_bytes()).hexdigest(),
        "abi": sysconfig.get_config_var("SOABI"),
        "platform": sysconfig.get_platform(),
    }
    return json.dumps(stamp, sort_keys=True)


def are_installed(packages: Path, stamp: str) -> bool:
    """Return whether a complete installation with this stamp is in place."""
    path = packages / STAMP_NAME
    return path.is_file() and path.read_text() == stamp


def install_packages(target: Path) -> None:
    """Install the requirements into `deps`, all or nothing; raise BuildError."""
    stamp = package_stamp()
    installed = target / "deps"
    if are_installed(installed, stamp):
        return
    with unfinished_folder(target) as folder:
        packages = folder / "deps"
        packages.mkdir()
        command = [sys.executable, "-m", "pip", "install", "--quiet"]
        command += ["--target", str(packages), "--requirement", str(REQUIREMENTS)]
        status = subprocess.run(command, check=False).returncode
        if status != 0:
            raise BuildError(f"pip ended with status {status}, no packages installed")
        (packages / STAMP_NAME).write_text(stamp)
        if installed.exists():
            installed.rename(folder / "replaced")
        packages.rename(installed)


def find_library() -> Path | None:
    """Return the shared library of this interpreter, None if there is none."""
    name = sysconfig.get_config_var("INSTSONAME") or ""
    # An installation that was moved still has its first place in LIBDIR.
    for folder in (Path(sys.base_prefix, "lib"), sysconfig.get_config_var("LIBDIR")):
        if folder and ".so" in name and (path := Path(folder, name)).is_file():
            return path
    return None


def identify(interpreter: Path | str) -> str:
    """Return what IDENTIFY prints; raise BuildError if it is not run or complains."""
    result = subprocess.run(
        [interpreter, "-I", "-S", "-c", IDENTIFY],
        capture_output=True,
        text=True,
        check=False,
    )
    # The program says so and goes on if it can't load its library.
    if result.returncode != 0 or result.stderr:
        lines = result.stderr.strip().splitlines() or ["no message"]
        raise BuildError(f"{interpreter} failed: {lines[-1]}")
    return result.stdout


def compile_interpreter(program: Path) -> None:
    """Compile SOURCE for this interpreter and try it; raise BuildError."""
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise BuildError("there is no C compiler")
    library = find_library()
    if library is None:
        raise BuildError("the interpreter's shared library is not installed")
    definitions = {"PYTHON_LIBRARY": str(library), "PYTHON_EXECUTABLE": sys.executable}
    command = [compiler, "-std=c11", "-O2", "-Wall", "-Wextra"]
    command += [f"-D{k}={_c_string(v)}" for k, v in definitions.items()]
    command += ["-o", str(program), str(SOURCE), "-ldl"]
    status = subprocess.run(command, check=False).returncode
    if status != 0:
        raise BuildError(f"the compiler ended with status {status}")
    if identify(program) != identify(sys.executable):
        raise BuildError(f"{library} is not the library of {sys.executable}")


def _c_string(text: str) -> str:
    """Return a string literal of C."""
    return json.dumps(text, ensure_ascii=False)


def build_interpreter(target: Path) -> None:
    """
    Build `python3`, which starts with signals blocked.

    Where that is impossible it is a link to the interpreter, as which it starts, too.
    """
    with unfinished_folder(target) as folder:
        program = folder / "python3"
        try:
            compile_interpreter(program)
        except BuildError as error:
            log(f"{error}; a signal while the interpreter starts will end a start.")
            program.unlink(missing_ok=True)
            program.symlink_to(sys.executable)
        program.replace(target / "python3")


def compile_modules() -> None:
    """
    Compile the modules beside their sources, so that no start has to.

    Times of files may change when a tree is copied, so the compiled modules name the
    hash of their source. Where they can't be written, each start compiles again.
    """
    complete = compileall.compile_dir(
        MODULES,
        force=True,
        quiet=2,
        invalidation_mode=py_compile.PycInvalidationMode.CHECKED_HASH,
    )
    if not complete:
        log("modules can't be compiled; a start takes more processor time.")


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the build and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--target", type=Path, default=ROOT / "target")
    parser.add_argument("--interpreter-only", action="store_true")
    options = parser.parse_args(arguments)
    try:
        with lock_folder(options.target):
            remove_leftovers(options.target)
            if not options.interpreter_only:
                install_packages(options.target)
            build_interpreter(options.target)
            if not options.interpreter_only:
                compile_modules()
    except (BuildError, OSError) as error:
        log(f"failed: {error}")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
