"""Runs whole deployments with stand-ins in one process."""
