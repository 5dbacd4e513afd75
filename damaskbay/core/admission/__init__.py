"""Admission control at the daemon that runs next to a backend server."""

from damaskbay.core.admission.controller import (
    AdmissionController,
    AdmissionOptions,
    Decision,
    Refuse,
    Start,
)
from damaskbay.core.admission.level import OPEN_LEVEL, pass_share
from damaskbay.core.admission.limit import (
    AimdLimit,
    ConcurrencyLimit,
    FixedLimit,
    GradientLimit,
    Sample,
)
from damaskbay.core.admission.queue import Waiting

__all__ = [
    "OPEN_LEVEL",
    "AdmissionController",
    "AdmissionOptions",
    "AimdLimit",
    "ConcurrencyLimit",
    "Decision",
    "FixedLimit",
    "GradientLimit",
    "Refuse",
    "Sample",
    "Start",
    "Waiting",
    "pass_share",
]
