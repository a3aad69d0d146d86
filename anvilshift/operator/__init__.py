"""Implement the `anvilshift` command line for operators."""
