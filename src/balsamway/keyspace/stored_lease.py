"""The leader's lease, and one version of it in the store."""

from __future__ import annotations

from dataclasses import dataclass

from balsamway.store.era import era_of, revision_of, version_of


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
    era: int = 0
    """The era of the store in which the leader wrote the lease."""


@dataclass(frozen=True, slots=True)
class StoredLease:
    """The lease with its version in the store."""

    version: int
    """The version of the stored object."""
    lease: Lease

    @property
    def era(self) -> int:
        """The era of the store in which this version was found."""
        return era_of(self.version)

    @property
    def replaces(self) -> int | None:
        """The version that an update must replace; None if there is none."""
        return self.version if revision_of(self.version) else None

    @property
    def is_current(self) -> bool:
        """Whether the store lost no later version of the lease.

        A lease that was written in an earlier era comes from the copy that the
        store was restored from. A leader may have renewed it since.
        """
        return self.lease.era == self.era


def absent_lease(era: int) -> StoredLease:
    """Return what stands for the lease of a store that has none.

    Args:
        era: The era of the store.
    """
    return StoredLease(version_of(era, 0), Lease(0, "", "", 0, era=-1))
