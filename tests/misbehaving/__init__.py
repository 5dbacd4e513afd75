"""Daemons as processes, and callers that misbehave."""
