"""Replication of the configuration from the log service to this router."""
