"""Call model engines and plain services."""
