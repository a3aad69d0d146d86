"""Call other routers over grpclib."""
