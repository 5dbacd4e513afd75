"""Names, units and buckets of the metrics."""

from typing import Final

METER_NAME: Final = "damaskbay"
LABEL_OTHER: Final = "other"
MAX_WORKSPACE_LABELS: Final = 200
MAX_POOL_LABELS: Final = 100

LATENCY_BUCKETS_S: Final = (
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
    0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
)  # fmt: skip
ATTR_WORKSPACE: Final = "workspace"
ATTR_PRIORITY: Final = "priority"
ATTR_OUTCOME: Final = "outcome"
ATTR_REASON: Final = "reason"
ATTR_POOL: Final = "pool"
