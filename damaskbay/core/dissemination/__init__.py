"""Spreading of configuration sets, decided without any I/O."""
