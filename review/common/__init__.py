"""Stand-ins that the cases of the review share; they need the standard library only."""
