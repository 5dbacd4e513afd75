"""Dissemination of configuration sets, without any I/O."""
