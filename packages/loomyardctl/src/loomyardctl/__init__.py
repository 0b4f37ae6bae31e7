"""The operators' command-line client of a loomyard fleet."""
