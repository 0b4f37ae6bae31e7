"""The commands, one a module."""
