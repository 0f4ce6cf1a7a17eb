"""The operators' command; each module with a `run` is a subcommand."""
