"""The loomyard router: from callers to targets, in fair shares."""
