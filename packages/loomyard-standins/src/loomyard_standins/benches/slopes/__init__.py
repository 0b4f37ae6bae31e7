"""Slopes of memory, processor time and traffic against each size that grows."""
