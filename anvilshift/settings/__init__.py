"""Validation of YAML settings and declarations, and conversion to data classes."""
