"""Run an entry host as a daemon."""
