"""The users' platform: its wire decoded once into the router's own types."""
