"""The lease as its holder stored it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoredLease:
    """One version of the lease, which its holder tells to the others."""

    version: int
    """The version in the store."""
    epoch: int
    host: str
    """Who leads; empty after a leader gave the lease up."""
    address: str
    """Where the leader listens for its peers."""
    beat: int
    """Makes each renewal differ from the one before."""
