"""Protocols of the external systems, with an HTTP adapter for each."""
