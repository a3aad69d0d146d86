"""Adapter between the deployment platform and the gateway; makes no decisions."""
