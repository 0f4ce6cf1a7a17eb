"""Metrics, logs, the state dump and the reports of workspaces."""
