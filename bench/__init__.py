"""Measurements of damaskbay."""
