"""Which work is admitted when room is short, in which order, and who returns when."""
