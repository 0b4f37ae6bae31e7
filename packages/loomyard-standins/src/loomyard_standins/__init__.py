"""Stand-ins for what lies outside loomyard; not shipped."""
