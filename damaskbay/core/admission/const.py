"""Constants of admission control."""

LEVEL_STEPS_PER_RANK = 1000
LEVEL_MIN_WINDOW_S = 0.1
LEVEL_MAX_WINDOW_S = 0.5
LEVEL_MIN_WINDOW_CALLS = 8
LEVEL_DECREASE_INTERVAL_S = 0.2
LEVEL_HEADROOM = 1.5
LEVEL_FIRST_INCREASE = 100
LEVEL_DRAIN_SHARE = 0.9
"""Part of the starts that the level admits while calls wait for long."""

LEVEL_MIN = 20

LIMIT_MIN_WINDOW_S = 0.1
LIMIT_WINDOW_MIN_CALLS = 16
LIMIT_WINDOW_MAX_CALLS = 64
LIMIT_START_SHARE = 0.5
LIMIT_MIN = 1
LIMIT_INCREASE_SHARE = 0.25
LIMIT_PROBE_SHARE = 0.02
SLOW_LATENCY_RATIO = 1.5
STEADY_LATENCY_RATIO = 1.2
BASELINE_RISE_GAIN = 0.1
BASELINE_FALL_GAIN = 0.5
CONCURRENCY_LATENCY_EXPONENT = 2.0
SAME_CONCURRENCY_RATIO = 1.1
DECREASE_MIN_FACTOR = 0.5
DECREASE_MAX_FACTOR = 0.85
MAX_FAILED_SHARE = 0.1
FAILURE_DECREASE_FACTOR = 0.8

LATENCY_MAX_SAMPLES = 64
LATENCY_QUANTILE = 0.8
NESTED_LATENCY_QUANTILE = 0.5
LATENCY_WINDOW_S = 1.0
LATENCY_REFRESH_S = 0.02
LATENCY_HALF_LIFE_S = 0.5
PROBE_INTERVAL_S = 0.2
MEAN_LATENCY_GAIN = 0.05

QUEUE_PER_SLOT = 1.0
QUEUE_MIN_LENGTH = 4
QUEUE_WAIT_SHARE = 0.5
STANDING_QUEUE_WAIT_S = 0.02
STANDING_QUEUE_AFTER_S = 0.1

RETRY_AFTER_S = 1.0
RETRY_AFTER_MAX_S = 15.0

START_RATE_TIME_CONSTANT_S = 0.5
"""Time constant of the measured rate of starts, in seconds."""

LIMIT_MIN_PER_S = 0.5
"""Lowest rate at which calls still start, so that a response shows a limit's end."""

LIMIT_BURST_S = 0.25
"""Starts that may follow each other at once, in seconds of the named limit."""

LIMIT_STALE_S = 1.0
"""Time without responses after which senders have to find out if a limit holds."""

LIMIT_RETURN_DOUBLING_S = 0.5
LIMIT_RETURN_MAX_STEP_S = 0.5
LIMIT_RETURN_S = 2.0
"""Time of responses without a limit after which starts are no longer limited."""

COLD_WINDOW_S = 1.0
COLD_WINDOW_MARGIN_S = 0.2
"""Time added to the window, since requests reach the server unevenly late."""

COLD_BURST_S = 0.25
"""Starts that may follow each other at once, in seconds of the warm-up rate."""

COLD_UNKNOWN_PER_S = 1.0
"""Rate while no configuration is known that says whether there is a warm-up rate."""

COLD_UNKNOWN_COUNT = 8
"""Requests in a window while no configuration is known; below usual bounds."""

COLD_MAX_COUNT = 100_000
"""Upper end of a bound on the requests in a window; limits the memory it takes."""

COLD_RETURN_S = 1.0
COLD_RETURN_DOUBLING_S = 0.125
"""Time in which the rate doubles after a cold phase; unlimited after COLD_RETURN_S."""

COLD_LATENCY_S = 0.2
"""Latency of calls to a cold server of which none has ended yet."""

COLD_ROOT_WAIT_S = 0.1
"""Longest expected wait of a root call for a cold server; it moves on otherwise."""

COLD_NESTED_WAIT_SHARE = 0.5
"""Part of its time left that a nested call may wait for a cold server."""

COLD_MAX_WAIT_S = 15.0
"""Longest wait that callers are told; a bound below one request takes none at all."""
