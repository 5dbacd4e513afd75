"""End-to-end tests that run real processes on the loopback interface."""
