"""The lease, and one version of it in the store."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Lease:
    """Who leads, as the leader writes it."""

    epoch: int
    host: str
    """Empty after a leader gave the lease up."""
    address: str
    """Where the leader listens for its peers."""
    beat: int
    """Makes each renewal differ from the one before."""


@dataclass(frozen=True, slots=True)
class StoredLease:
    """One version of the lease."""

    version: int
    """The version of its object in the store."""
    lease: Lease
