"""Fakes at the interfaces, invariant checkers and the fault matrix."""
