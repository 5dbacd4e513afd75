"""Small helpers without a home in one layer."""
