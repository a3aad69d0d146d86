"""Access to the platform's objects: API client, ledgers, caching, rate limiting."""
