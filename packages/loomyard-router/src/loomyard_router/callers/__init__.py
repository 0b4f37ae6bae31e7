"""The HTTP interface of callers."""
