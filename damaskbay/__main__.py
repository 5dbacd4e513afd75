"""Runs the command line with `python -m damaskbay`."""

import sys

from damaskbay.cli.main import main

sys.exit(main())
