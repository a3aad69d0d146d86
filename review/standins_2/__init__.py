"""Stand-ins for the review: a store, engines, clients, and routers as processes."""
