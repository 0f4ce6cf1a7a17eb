"""A request router for targets that own keys exclusively."""

__version__ = "0.1.0"
