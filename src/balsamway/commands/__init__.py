"""The operators' command; each module that has `run` is a verb."""
