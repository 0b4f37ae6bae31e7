"""Measure membership and links between router processes."""
