"""Constants of routing."""

SLOW_START_S = 10.0
MIN_WARMTH = 0.1

LEVEL_FULL_WEIGHT_S = 0.25
LEVEL_EXPIRY_S = 0.75
"""
Age at which an admission level has no effect; it fades from LEVEL_FULL_WEIGHT_S on.
"""

MIN_PASS_SHARE = 0.02
"""Share of calls of a fully shed rank that pass, so that recovery is detected."""

SAMPLE_SIZE = 8
LOCAL_MAX_OCCUPANCY = 0.8
DOMAIN_MAX_SCORE = 0.9

REPORTED_LOAD_WEIGHT = 0.2
REPORTED_LOAD_MAX_AGE_S = 5.0
"""Age at which reported load no longer breaks ties; its weight falls until then."""

LOCAL_MIN_SPEED = 0.75
"""Speed from which on the local server goes before the others of its pool."""

REMOTE_PENALTY = 0.4
"""Penalty on the score of a remote server, in usual times of a call."""

LOAD_REPLACE_AFTER_S = 0.1
"""Age from which a fleet report may replace a load that a response reported."""

LOAD_FRESH_S = 0.15
LOAD_MEAN_S = 2.0
"""
Time constants in seconds: of the weight of a load against the mean of the last ones,
and of that mean.
"""

LOAD_EXPIRY_S = 1.5
"""Age at which occupancy by reported load falls back to local calls in flight."""

MIN_SUCCESS_SHARE = 0.05
SUCCESS_GAIN = 0.1
EJECT_CONSECUTIVE_FAILURES = 5
EJECT_BELOW_SUCCESS_SHARE = 0.5
EJECT_MIN_CALLS = 10
EJECTION_BASE_S = 1.0
EJECTION_MAX_S = 30.0
EJECTION_JITTER_SHARE = 0.2
MAX_EJECTED_SHARE = 0.5
PROBE_INTERVAL_S = 0.25
PROBE_SUCCESSES = 3

HEALTH_EXPIRY_S = 300.0
EARLY_RETRY_AFTER_S = 1.0
EARLY_RETRY_AFTER_MAX_S = 15.0

DEMAND_HALF_LIFE_S = 1.0
DEMAND_REFRESH_S = 0.05
