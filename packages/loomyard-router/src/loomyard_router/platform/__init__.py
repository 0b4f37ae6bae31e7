"""The adapter to the users' platform: decodes its formats into the router's own types."""
