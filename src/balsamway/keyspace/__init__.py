"""Which target holds which keys of a service, and who decides it."""
