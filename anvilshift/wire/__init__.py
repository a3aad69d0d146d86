"""HTTP/1.1 server and client on top of h11, server-sent events and JSON."""
