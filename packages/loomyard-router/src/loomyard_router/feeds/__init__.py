"""Feeds of keyed records from the platform's store, and the code that follows them."""
