"""Tests of the specification."""
