"""Membership protocol of one failure domain, decision logic without any I/O."""
