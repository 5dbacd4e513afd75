"""Fleet-wide rate limits with exact counting by token buckets split into shares."""
