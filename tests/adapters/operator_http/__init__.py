"""Tests of operator_http."""
