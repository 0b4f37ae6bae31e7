"""Relay of answers from target to caller."""
