"""The router daemon: adds sockets, timers and storage to the core."""
