"""Tests of core.rates."""
