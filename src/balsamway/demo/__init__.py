"""Runs whole deployments on embedded stand-ins, in one process."""
