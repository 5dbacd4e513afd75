"""Names of the platform's wire and settings."""

from typing import Final

from damaskbay.mesh.dialect import Dialect

SETTINGS_VARIABLE: Final = "DAMASKBAY_BOOT"
CONFIG_PREFIX: Final = "op/"
CONFIG_KEY: Final = "op/config"
MEMBER_PREFIX: Final = "damaskbay/members/"

DIALECT: Final = Dialect(
    request_id="X-Request-Id",
    deadline_ms="X-Deadline-Ms",
    key="Api-Key",
    stamp="X-Server-Stamp",
    workspace="X-Tenant",
    caller="X-Caller-Service",
    expected_server="X-Expect-Instance",
    server="X-Instance-Id",
    not_run="X-Not-Executed",
    retry_after="Retry-After",
    not_run_statuses=frozenset({421}),
)

STORE_TIMEOUT_S: Final = 2.0
"""Longest wait for the store, seconds; sixty times its usual answer is 0.24."""

WATCH_GRACE_S: Final = 1.0
"""Waited beyond the end of a watch, seconds, before its connection is given up."""
