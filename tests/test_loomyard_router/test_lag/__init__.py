"""Tests of routers that lag."""
