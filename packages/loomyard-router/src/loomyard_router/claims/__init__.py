"""At most one execution for each idempotency key."""
