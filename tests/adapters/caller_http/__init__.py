"""Tests of caller_http."""
