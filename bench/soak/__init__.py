"""Long randomised runs of the daemon's own logic in virtual time."""
