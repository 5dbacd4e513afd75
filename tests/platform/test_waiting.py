"""
Pattern: what a daemon process needs is missing as it starts, and comes later.

The process waits, says so in its log, and ends by nothing but a signal.
"""

import resource
import socket
import time
import unittest

from damaskbay.platform.settings import METRICS_PORT
from tests.common import function_suite
from tests.platform.processes import daemon_process

OTHER_HOST = "192.0.2.1"
"""An address for documentation, which no machine has."""

MISSING_S = 3.0
STORE_FAULT_S = 0.5
FEW_DESCRIPTORS = (5, 19)
ENDLESS_STACK_BYTES = 1 << 60


# Any other error than an address in use ended a start.
def test_a_start_waits_for_an_address_that_the_machine_does_not_have() -> None:
    """It is stopped meanwhile."""
    with daemon_process() as daemon:
        daemon.callers_host = OTHER_HOST
        daemon.start()
        daemon.until(lambda: f"{OTHER_HOST}:{daemon.port}" in daemon.log())
        time.sleep(MISSING_S)
        daemon.stop()


# Metrics whose address was in use at the start were never served.
def test_metrics_are_served_once_their_address_is_free() -> None:
    """The process before may just be ending."""
    with daemon_process() as daemon, socket.socket() as earlier:
        earlier.bind((daemon.host, METRICS_PORT))
        earlier.listen()
        daemon.start()
        daemon.until(daemon.listens)
        earlier.close()
        daemon.until(lambda: daemon.get(METRICS_PORT, "/metrics")[0] == 200)
        daemon.stop()


# A start that found no thread for its log ended.
def test_a_start_needs_no_threads() -> None:
    """The stacks of threads have no room in the address space."""
    with daemon_process() as daemon:
        daemon.start(limits={resource.RLIMIT_STACK: ENDLESS_STACK_BYTES})
        daemon.until(daemon.listens)
        daemon.stop()


# Settings that stayed invalid for 2 s ended a start.
def test_a_start_waits_for_settings_to_be_corrected() -> None:
    """The log names the field; a folder in place of the file is waited for, too."""
    with daemon_process() as daemon:
        daemon.settings_path.mkdir()
        daemon.start()
        daemon.until(lambda: "Is a directory" in daemon.log())
        daemon.settings_path.rmdir()
        daemon.settings_path.write_text("Node = 1\n")
        daemon.until(lambda: "Listen: expected a table" in daemon.log())
        time.sleep(MISSING_S)
        daemon.settings_path.write_text("a = " + "[" * 100_000)
        time.sleep(0.5)
        daemon.settings_path.write_text(daemon.settings())
        daemon.until(daemon.listens)
        daemon.stop()


def load_tests(*_: object) -> unittest.TestSuite:
    """Load the functions of this module."""
    return function_suite(globals())
