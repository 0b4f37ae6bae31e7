"""The HTTP interface of operators."""
