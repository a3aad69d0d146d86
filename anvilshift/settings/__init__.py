"""Convert YAML settings into checked data classes."""
