"""Where work goes, and which routers callers are told of."""
