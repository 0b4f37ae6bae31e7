"""Measurements of requests and their exposition."""
