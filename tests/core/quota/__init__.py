"""Tests of core/quota."""
