"""Stand-ins and tools that the review's cases share; standard library only."""
