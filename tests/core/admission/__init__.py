"""Tests of core.admission."""
