"""Core logic without I/O: the states, rules and policies used by every other layer."""
