"""Slopes of memory, CPU time and traffic against the size of the fleet or its configuration."""
