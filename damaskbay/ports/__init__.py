"""Interfaces between the decision logic and the outside world."""
