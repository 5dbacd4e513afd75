"""The daemon: tasks that own their state and communicate by messages."""
