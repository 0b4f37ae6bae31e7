"""The target directory, target health and load, and HTTP calls to targets."""
