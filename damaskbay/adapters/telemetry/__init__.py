"""Adapter for metrics: OpenTelemetry with a Prometheus exporter."""
