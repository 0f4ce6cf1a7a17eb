"""Who owns the keys of each service, and how the leader decides it."""
