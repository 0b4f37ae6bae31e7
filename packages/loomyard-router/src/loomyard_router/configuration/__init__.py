"""The configuration on its way from the log into force."""
