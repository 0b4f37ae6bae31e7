"""The subcommands, one in each module."""
