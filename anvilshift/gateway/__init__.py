"""Forward callers' HTTP requests to targets and report their outcomes."""
