"""Decisions only: no sockets, threads, clocks or logging."""
