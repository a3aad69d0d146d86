"""Adapters for targets: model engines and plain services."""
