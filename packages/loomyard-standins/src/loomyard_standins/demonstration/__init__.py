"""Callers of the demonstration and their metrics."""
