"""Supervision of tasks, callbacks and listeners, so that an exception in one ends no other."""
