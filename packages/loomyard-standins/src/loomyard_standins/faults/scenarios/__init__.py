"""Scenarios: operations of a fake fleet during which a fault is injected."""
