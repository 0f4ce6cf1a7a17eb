"""Puts the parts of an entry host together."""
