"""Tests of mesh."""
