"""Requests and notes between daemons, many at once on one connection each way."""
