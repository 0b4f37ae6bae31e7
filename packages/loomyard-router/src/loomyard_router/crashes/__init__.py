"""Requests that end the targets that run them: known over the fleet, and sent no more."""
