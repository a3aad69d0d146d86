"""Route requests to model engines and services within prepaid token budgets."""
