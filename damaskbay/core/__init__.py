"""Decision logic without sockets, threads, clocks or logging."""
