"""Admission control at the daemon that runs next to a backend server."""

from damaskbay.core.admission.controller import (
    AdmissionController,
    Decision,
    RefuseDecision,
    StartDecision,
)
from damaskbay.core.admission.level import OPEN_LEVEL, pass_share
from damaskbay.core.admission.limit import (
    AimdLimit,
    CallSample,
    ConcurrencyLimit,
    FixedLimit,
    GradientLimit,
)
from damaskbay.core.admission.options import AdmissionOptions
from damaskbay.core.admission.queue import PendingCall
from damaskbay.core.admission.useful_limit import UsefulLimit

__all__ = [
    "OPEN_LEVEL",
    "AdmissionController",
    "AdmissionOptions",
    "AimdLimit",
    "CallSample",
    "ConcurrencyLimit",
    "Decision",
    "FixedLimit",
    "GradientLimit",
    "PendingCall",
    "RefuseDecision",
    "StartDecision",
    "UsefulLimit",
    "pass_share",
]
