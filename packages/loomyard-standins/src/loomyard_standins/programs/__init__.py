"""Soak test of the real programs: processes on loopback, fault injection, invariants."""
