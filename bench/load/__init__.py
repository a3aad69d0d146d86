"""Compare load policies on seeded traces in virtual time; `make load` runs it."""
