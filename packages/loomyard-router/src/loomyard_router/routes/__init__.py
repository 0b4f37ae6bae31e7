"""The routing configuration of callers' requests: routes, services, accounts and limits."""
