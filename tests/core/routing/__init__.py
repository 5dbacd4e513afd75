"""Tests of core.routing."""
