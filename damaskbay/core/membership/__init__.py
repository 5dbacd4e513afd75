"""Membership of one failure domain: who lives, decided without any I/O."""
