"""gRPC calls between routers, with grpclib."""
