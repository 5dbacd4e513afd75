"""Whole call trees: their work at each pool, the room there, and which ones begin."""
