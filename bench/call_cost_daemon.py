"""Run the platform's daemon under a profiler; its profile goes beside its settings."""

import cProfile
import os
import time

from damaskbay.platform.const import SETTINGS_VARIABLE
from damaskbay.platform.daemon import main

PROFILE_SUFFIX = ".profile"


def run() -> int:
    """Run the daemon until it is stopped; return its exit status."""
    profile = cProfile.Profile(time.thread_time)
    try:
        return profile.runcall(main)
    finally:
        profile.dump_stats(os.environ[SETTINGS_VARIABLE] + PROFILE_SUFFIX)


if __name__ == "__main__":
    os._exit(run())
