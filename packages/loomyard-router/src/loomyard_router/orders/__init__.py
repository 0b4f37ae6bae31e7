"""Orders that make engines load and unload models, sent under a lease with a fencing number."""
