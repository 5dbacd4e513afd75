"""Names that the platform defines, and timeouts of its store."""

from typing import Final

from damaskbay.mesh.dialect import HeaderNames

SETTINGS_VARIABLE: Final = "DAMASKBAY_BOOT"
CONFIG_PREFIX: Final = "op/"
CONFIG_KEY: Final = "op/config"
EVACUATION_PREFIX: Final = "op/evacuate/"
MEMBER_PREFIX: Final = "damaskbay/members/"

HEADER_NAMES: Final = HeaderNames(
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
    limit="Server-Limit",
    leaving="Server-Leaving",
    cold_ms="X-Cold-Ms",
    not_run_statuses=frozenset({421}),
)

ERA_HEADER: Final = "Store-Era"
"""Header of the store's responses: rises when the store is restored."""

MAX_ERA: Final = 2**23 - 1
"""Highest era whose revisions fit into the 64-bit integers of messages to peers."""

STORE_TIMEOUT_S: Final = 2.0
"""Timeout of a store request, seconds; sixty times the usual 4 ms is 0.24 s."""

WATCH_TIMEOUT_MARGIN_S: Final = 1.0
"""Seconds after the end of a watch before its request times out."""
