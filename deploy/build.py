"""
Install the packages of the deploy file under `target/`.

They are for the interpreter that runs this file.
"""

import argparse
import contextlib
import fcntl
import hashlib
import json
import shutil
import subprocess
import sys
import sysconfig
import tempfile
from collections.abc import Iterator, Sequence
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
REQUIREMENTS = ROOT / "requirements.txt"

LEFTOVER_PREFIX = "unfinished-"
STAMP_NAME = "build-stamp.json"


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


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the build and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--target", type=Path, default=ROOT / "target")
    options = parser.parse_args(arguments)
    try:
        with lock_folder(options.target):
            remove_leftovers(options.target)
            install_packages(options.target)
    except (BuildError, OSError) as error:
        log(f"failed: {error}")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
