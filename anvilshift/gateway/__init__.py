"""Pass callers' HTTP requests through to targets and answer for the outcome."""
