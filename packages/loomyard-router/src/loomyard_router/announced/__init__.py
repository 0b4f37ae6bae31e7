"""Targets that announce themselves, and which of them may get new work."""
