"""Translate between the users' platform and the gateway; nothing is decided here."""
