"""Which routers are there."""
