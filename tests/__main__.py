"""Run the tests; failures listed in KNOWN-RED.txt are printed and ignored."""

import argparse
import sys
import unittest
from collections.abc import Sequence
from pathlib import Path
from pkgutil import resolve_name
from types import FunctionType

from tests.common import function_suite

ROOT = Path(__file__).parent.parent
KNOWN_RED_PREFIX = "test: "


def _known_red() -> set[str]:
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    entries = [line for line in lines if line.startswith(KNOWN_RED_PREFIX)]
    return {line.removeprefix(KNOWN_RED_PREFIX).strip() for line in entries}


def _load_by_name(
    loader: unittest.TestLoader, names: Sequence[str]
) -> unittest.TestSuite:
    suite = unittest.TestSuite()
    for name in names:
        found = resolve_name(name)
        if isinstance(found, FunctionType):
            suite.addTest(function_suite({found.__name__: found}))
        else:
            suite.addTest(loader.loadTestsFromName(name))
    return suite


def main() -> int:
    """Run all tests or the named ones and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="modules or functions; default: all")
    parser.add_argument("-v", "--verbose", action="store_true")
    options = parser.parse_args()
    loader = unittest.TestLoader()
    if options.names:
        suite = _load_by_name(loader, options.names)
    else:
        suite = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    result = unittest.TextTestRunner(verbosity=1 + options.verbose).run(suite)
    failed = [test.id() for test, _ in result.failures + result.errors]
    known = _known_red()
    for name in failed:
        if name in known:
            print(f"known red: {name}")
    unknown = [name for name in failed if name not in known]
    skipped = len(result.skipped)
    passed = result.testsRun - len(failed) - skipped
    sys.stderr.flush()
    print(f"{passed} passed, {len(failed)} failed, {skipped} skipped", flush=True)
    return 1 if unknown or result.testsRun == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
