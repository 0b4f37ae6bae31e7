"""Detection of poison requests, which crash the targets that run them, and their refusal."""
