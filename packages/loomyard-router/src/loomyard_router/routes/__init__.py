"""Routes by host and path: what an operator's configuration says of requests."""
