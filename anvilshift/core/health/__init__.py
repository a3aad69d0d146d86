"""Decide how much a target in need is sent, and when it is left alone."""
