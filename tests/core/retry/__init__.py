"""Tests of core.retry."""
