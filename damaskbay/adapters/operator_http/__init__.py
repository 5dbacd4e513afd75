"""Adapter for operators: metrics, health, status, explanations, announcements."""
