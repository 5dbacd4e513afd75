"""Stand-ins of the platform, of backend servers and of clients for cases 6 to 10."""
