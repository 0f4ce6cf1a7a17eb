"""A request router for targets that each own their keys exclusively."""

__version__ = "0.1.0"
