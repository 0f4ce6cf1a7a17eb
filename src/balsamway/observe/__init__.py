"""Structured logs, workspace reports and load experiments."""
