"""Randomized fault soak of the event-driven daemon, run as separate processes."""
