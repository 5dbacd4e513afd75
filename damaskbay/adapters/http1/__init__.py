"""Event-driven HTTP/1.1 for callers, the backend server and the platform."""
