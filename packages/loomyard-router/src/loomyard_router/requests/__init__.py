"""A caller's request from arrival to outcome."""
