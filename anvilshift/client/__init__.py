"""Client library for callers of the fleet."""
