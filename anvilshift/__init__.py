"""Route requests of organisations that spend from prepaid token budgets."""
