"""Run the router daemon: sockets and timers round the core."""
