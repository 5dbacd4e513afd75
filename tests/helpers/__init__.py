"""Tests of the helpers package."""
