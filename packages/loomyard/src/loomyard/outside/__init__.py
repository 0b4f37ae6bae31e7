"""The outside systems as narrow protocols, and an adapter for the wire of each."""
