"""Assemble the components of an entry host into one service."""
