"""Connections of callers that a lagging router passes on to another router."""
