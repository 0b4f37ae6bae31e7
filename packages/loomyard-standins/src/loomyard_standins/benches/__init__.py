"""Benchmarks; `make bench-NAME` runs the module of that name."""
