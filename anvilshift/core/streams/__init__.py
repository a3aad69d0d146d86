"""Decide which runs get a copy on another target, and which go on from it."""
