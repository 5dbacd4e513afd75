"""Implementations of the ports, one folder for each integration."""
