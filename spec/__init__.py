"""Specification of the core protocol, checked state by state."""
