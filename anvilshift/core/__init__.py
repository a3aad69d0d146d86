"""Decide without I/O: states, rules and policies that every layer rests on."""
