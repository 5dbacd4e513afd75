"""Adapter for callers: HTTP by `waitress`."""
