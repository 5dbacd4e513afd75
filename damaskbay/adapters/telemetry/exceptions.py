"""Errors of the metrics adapter."""


class TelemetryError(Exception):
    """Base of the adapter's errors."""
