"""Provide the operator's command line."""
