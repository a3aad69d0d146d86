"""Speak HTTP/1.1 through h11, on the server and the client side."""
