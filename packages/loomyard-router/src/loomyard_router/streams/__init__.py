"""What began each stream, so that any router lets it go on at the same version of a service."""
