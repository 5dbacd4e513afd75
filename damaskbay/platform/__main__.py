"""
Run the daemon on the external platform, as a file or as a module.

As a file with -S it lets signals wait before the interpreter looks for packages, as a
module only afterwards. The interpreter of `deploy/build.py` starts with them blocked.
"""

# `signal` imports other modules first, and until here a signal ends the process.
from _signal import (  # type: ignore[import-not-found]
    SIG_BLOCK,
    SIG_UNBLOCK,
    SIGHUP,
    SIGINT,
    SIGTERM,
    pthread_sigmask,
    signal,
)
from posix import _exit

if __name__ == "__main__":
    pthread_sigmask(SIG_BLOCK, (SIGHUP,))
    # Nothing is served yet, and on a busy machine the imports outlast a grace time.
    for stop_signal in (SIGINT, SIGTERM):
        signal(stop_signal, lambda *_: _exit(0))
    pthread_sigmask(SIG_UNBLOCK, (SIGINT, SIGTERM))

import gc
import sys
from pathlib import Path


def _complete_path() -> None:
    """Let modules be found as in `python3 -m`, also from a file and with -S."""
    if not __package__:
        folder = Path(__file__).resolve().parent
        others = [entry for entry in sys.path if entry != str(folder)]
        sys.path[:] = [str(folder.parents[1]), *others]
    if sys.flags.no_site:
        import site

        site.main()


if __name__ == "__main__":
    _complete_path()
    # The modules stay, and collections meanwhile take a good part of their import.
    gc.disable()
    from damaskbay.platform.daemon import main

    # The interpreter's clean-up takes processor time that the end of a grace time may
    # lack, and waits without a limit for a log that nobody reads.
    _exit(main())
