"""The leader's lease, and one version of it in the store."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Lease:
    """The lease as the leader writes it."""

    epoch: int
    host: str
    """The leader's host. Empty after a leader released the lease."""
    address: str
    """The address on which the leader listens for its peers."""
    beat: int
    """A counter that makes each renewal differ from the one before."""


@dataclass(frozen=True, slots=True)
class StoredLease:
    """The lease with its version in the store."""

    version: int
    """The version of the stored object."""
    lease: Lease
