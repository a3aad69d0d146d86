"""Decide where work goes, and where it may not go."""
