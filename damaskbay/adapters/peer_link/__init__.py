"""Multiplexed requests and one-way notes between daemons over TCP."""
