"""HTTP listener for operators: metrics, health, status, explain and announcements."""
