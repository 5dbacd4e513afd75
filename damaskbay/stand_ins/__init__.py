"""Stand-ins for the platform and for a backend server, for tests and demos."""
