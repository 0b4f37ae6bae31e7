"""Feeds of keyed records that the platform keeps, and following them."""
