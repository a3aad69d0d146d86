"""Compare dispatch policies on seeded traces in virtual time (`make load`)."""
