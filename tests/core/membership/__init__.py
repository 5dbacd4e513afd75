"""Tests of core.membership."""
