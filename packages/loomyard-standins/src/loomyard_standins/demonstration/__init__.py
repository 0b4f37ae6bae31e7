"""The callers of the demonstration and what they saw."""
