"""Run the daemon on the external platform: `python -m damaskbay.platform`."""

import sys

from damaskbay.helpers.signals import hold_signals

if __name__ == "__main__":
    # Imports take a while, in which a signal would end the process.
    hold_signals()
    from damaskbay.platform.daemon import main

    sys.exit(main())
