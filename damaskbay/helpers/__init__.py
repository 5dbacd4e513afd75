"""Small helpers that several layers share."""
