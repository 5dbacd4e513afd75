"""Tests of core.dissemination."""
