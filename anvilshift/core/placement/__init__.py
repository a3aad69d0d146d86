"""What routers carry, where work goes, and which routers callers are told of."""
