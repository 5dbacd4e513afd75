"""Tests of the build of the deploy file."""
