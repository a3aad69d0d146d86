"""When routers write to the store what organisations hold and spend."""
