"""Adapter to the users' platform: translates its names, files and calls."""
