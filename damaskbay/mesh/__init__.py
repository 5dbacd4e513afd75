"""The event-driven daemon: one loop that serves callers, peers and the server."""
