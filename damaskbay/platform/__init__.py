"""Adapter to an external platform: translates its names, files and requests."""
