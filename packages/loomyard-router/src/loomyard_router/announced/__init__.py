"""Targets that announce themselves in the store, and which of them may get new requests."""
