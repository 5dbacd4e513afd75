"""The damaskbay command line."""
