"""The targets and how they are called."""
