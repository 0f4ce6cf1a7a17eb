"""Adapters that translate between the platform and balsamway's own types."""
