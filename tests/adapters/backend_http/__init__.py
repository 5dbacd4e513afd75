"""Tests of backend_http."""
