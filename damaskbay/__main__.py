"""Run the command line by `python -m damaskbay`."""

import sys

from damaskbay.cli.main import main

sys.exit(main())
