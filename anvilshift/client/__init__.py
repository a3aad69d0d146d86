"""Provide the caller's library."""
