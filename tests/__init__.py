"""Tests of damaskbay."""
