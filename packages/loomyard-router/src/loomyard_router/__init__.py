"""The loomyard router: forwards requests to targets, which client accounts share fairly."""
