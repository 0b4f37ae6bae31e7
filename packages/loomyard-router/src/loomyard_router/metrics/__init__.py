"""Metrics of requests, and their exposition for Prometheus."""
