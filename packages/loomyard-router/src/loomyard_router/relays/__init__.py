"""Answers on their way from target to caller."""
