"""Tests of the sub-commands that read and publish sets."""

import contextlib
import hashlib
import io
import json
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from unittest import mock

from damaskbay.cli import check
from damaskbay.cli.const import (
    COMMANDS,
    EXIT_CONFLICT,
    EXIT_FAILED,
    EXIT_INVALID,
    EXIT_OK,
    EXIT_UNAVAILABLE,
    EXIT_USAGE,
)
from damaskbay.cli.main import build_parser, main
from damaskbay.stand_ins.platform import PlatformServer
from tests.common import function_suite
from tests.config.common import SAMPLE, sample

ROOT = Path(__file__).parent.parent.parent


@dataclass
class _Shell:
    """Runs sub-commands with one platform stand-in and a temporary directory."""

    server: PlatformServer
    directory: Path
    output: str = ""

    def run(self, *arguments: str, platform: bool = True) -> int:
        """Run a sub-command, store what it prints in `output`, return the exit code."""
        options = [f"--platform=127.0.0.1:{self.server.port}"] if platform else []
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed), contextlib.redirect_stderr(printed):
            code = main([*arguments, *options])
        self.output = printed.getvalue()
        return code

    def json(self, *arguments: str) -> Any:
        """Run a sub-command and return the JSON that it prints."""
        self.run(*arguments)
        return json.loads(self.output)

    def write(self, plain: dict[str, Any], name: str = "set.json") -> str:
        """Write a set into a file and return its path."""
        path = self.directory / name
        path.write_text(json.dumps(plain))
        return str(path)


@contextlib.contextmanager
def _open_shell() -> Iterator[_Shell]:
    with tempfile.TemporaryDirectory() as name, PlatformServer() as server:
        yield _Shell(server, Path(name))


def test_check_lists_every_fault() -> None:
    """An invalid set gives exit code 3 and all problems, a valid set exit code 0."""
    with _open_shell() as shell:
        valid, invalid = shell.write(SAMPLE), shell.write(
            sample(routes__file__pool="gone", keys__x={}), "bad.json"
        )  # fmt: skip
        assert shell.run("check", valid, platform=False) == EXIT_OK
        assert shell.run("check", invalid, platform=False) == EXIT_INVALID
        assert "routes/file pool: there is no 'gone'" in shell.output
        assert "keys/x digest: field required" in shell.output
        shell.run("check", invalid, "--json", platform=False)
        document, _ = json.JSONDecoder().raw_decode(shell.output)
        assert len(document["problems"]) == 3
        assert shell.run("check", "/none", platform=False) == EXIT_USAGE
        with mock.patch.dict(os.environ):
            os.environ.pop("DAMASKBAY_PLATFORM", None)
            assert shell.run("show", platform=False) == EXIT_USAGE


def test_publish_edit_and_conflict() -> None:
    """The output of `show` can be edited and published; a second edit conflicts."""
    with _open_shell() as shell:
        first = shell.write(SAMPLE)
        assert shell.run("publish", first, "--author=ann") == EXIT_OK
        assert shell.run("diff", "head", first) == EXIT_OK
        shown = shell.json("show")
        assert shown.pop("based_on_version") == 1
        shown["workspaces"]["north"]["burst"] = 70
        edited = shell.write({"based_on_version": 1, **shown})
        assert shell.run("diff", "head", edited) == EXIT_FAILED
        assert shell.output == "  ~ workspaces/north: burst 50 -> 70\n"
        assert shell.run("publish", edited, "--author=ben") == EXIT_OK
        shown["workspaces"]["north"]["burst"] = 80
        late = shell.write({"based_on_version": 1, **shown})
        assert shell.run("publish", late) == EXIT_CONFLICT
        assert "version 2 by ben is in force, not 1" in shell.output
        assert '~ workspaces/north: burst 70' in shell.output  # fmt: skip
        history = shell.json("history", "--json")
        assert [(item["version"], item["author"]) for item in history] == [
            (1, "ann"), (2, "ben"),
        ]  # fmt: skip
        assert shell.run("diff", "2", "head") == EXIT_OK
        assert shell.run("show", "--version=1") == EXIT_OK
        assert shell.run("show", "--version=9") == EXIT_FAILED


def test_an_override_is_checked_with_the_whole_set() -> None:
    """An override or removal that breaks a reference is not published."""
    with _open_shell() as shell:
        shell.run("publish", shell.write(SAMPLE))
        override = ("publish", "--override", "routes/file")
        assert shell.run(*override, "deadline_s=1") == EXIT_INVALID
        assert "shorter than the 2 s of 'record'" in shell.output
        assert shell.run("publish", "--remove=routes/record") == EXIT_INVALID
        assert shell.run(*override, "deadline_s=9", "retries=2") == EXIT_OK
        assert shell.json("show", "routes/file")["deadline_s"] == 9
        assert shell.run(*override, "retries=") == EXIT_OK
        assert "retries" not in shell.json("show", "routes/file")
        assert shell.run(
            "publish", "--override", "limits/new", "rate_per_s=1", "burst=1",
            "--remove=keys/south-1", "--override", "routes/home", "limits=[\"new\"]",
        ) == EXIT_OK  # fmt: skip
        assert shell.json("show", "limits/new") == {"rate_per_s": 1.0, "burst": 1}
        assert shell.run("show", "keys/south-1") == EXIT_FAILED
        for wrong in (("rooms/a", "b=1"), ("routes/file", "b"), ("routes/file",)):
            code = shell.run("publish", "--override", *wrong)
            assert code in {EXIT_INVALID, EXIT_USAGE}


def test_keys_are_granted_and_withdrawn() -> None:
    """The secret is printed once; only its digest is published."""
    with _open_shell() as shell:
        shell.run("publish", shell.write(SAMPLE))
        assert shell.run("keys", "new", "site-7", "--workspace=north") == EXIT_OK
        secret = shell.output.rsplit(" ", 1)[1].strip()
        key = shell.json("show", "keys/site-7")
        assert key["digest"] == hashlib.sha256(secret.encode()).hexdigest()
        entries = shell.server.platform.list("", timeout_s=1.0)
        assert isinstance(entries, tuple)
        assert not any(secret.encode() in entry.value for entry in entries)
        assert shell.run("keys", "new", "site-7", "--workspace=north") == EXIT_INVALID
        assert shell.run("keys", "new", "site-8", "--workspace=none") == EXIT_INVALID
        assert secret not in shell.output and "Secret" not in shell.output
        assert shell.run("keys", "withdraw", "site-7") == EXIT_OK
        assert shell.run("keys", "withdraw", "site-7") == EXIT_INVALID
        assert shell.run("show", "keys/site-7") == EXIT_FAILED


def test_a_lost_answer_is_reported_as_published() -> None:
    """A lost reply is resolved to success; an outage gives EXIT_UNAVAILABLE."""
    with _open_shell() as shell:
        shell.server.platform.inject(lose_answers=4)
        assert shell.run("publish", shell.write(SAMPLE)) == EXIT_OK
        assert "Published version 1" in shell.output
        with shell.server.platform.fault(outage=True):
            assert shell.run("show") == EXIT_UNAVAILABLE
            assert shell.run("keys", "withdraw", "north-1") == EXIT_UNAVAILABLE


def test_the_committed_schema_is_the_models() -> None:
    """The committed schema is current; update it with `check --schema`."""
    committed = json.loads((ROOT / "docs" / "config.schema.json").read_text())
    assert committed == check.schema()


def test_every_sub_command_has_help_with_exit_codes_or_examples() -> None:
    """The help of each sub-command contains examples or lists its actions."""
    for name in COMMANDS:
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed), contextlib.suppress(SystemExit):
            build_parser().parse_args([name, "--help"])
        text = printed.getvalue()
        assert "example" in text or "ACTION" in text, name


def test_the_platform_command_serves_until_sigterm() -> None:
    """The command prints its address, serves, and exits with code 0 on SIGTERM."""
    command = [sys.executable, "-m", "damaskbay", "platform"]
    process = subprocess.Popen(
        command, stdout=subprocess.PIPE, cwd=ROOT, env=os.environ, text=True
    )
    try:
        assert process.stdout is not None
        line = process.stdout.readline()
        port = line.strip().rstrip(".").rpartition(":")[2]
        with contextlib.redirect_stdout(io.StringIO()):
            assert main(["history", f"--platform=127.0.0.1:{port}"]) == EXIT_OK
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == EXIT_OK
    finally:
        process.kill()
        process.wait()
        if process.stdout is not None:
            process.stdout.close()


def load_tests(*_: object) -> unittest.TestSuite:
    """Collect this module's functions."""
    return function_suite(globals())
