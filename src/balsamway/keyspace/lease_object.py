"""The stored object that holds the leader's lease."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, TypeAlias

import msgspec

from balsamway.keyspace.stored_lease import Lease, StoredLease
from balsamway.store.era import MAX_ERA
from balsamway.store.store import (
    Absent,
    Conflict,
    StoredObject,
    Unavailable,
    WriteUnknown,
    Written,
)

if TYPE_CHECKING:
    from balsamway.store.object_store import ObjectStore

LEASE_KIND = "balsamway-leases"
LEASE_NAME = "keys"
READ_BACK_DELAY_SECONDS = 0.1
"""The delay between attempts to learn whether a write had effect."""
MAX_READ_BACK_ATTEMPTS = 8
"""The most reads to learn whether a write had effect."""
MAX_INTEGER = 2**63 - 1
"""Messages between hosts carry integers of 64 bits."""
UNREADABLE_HOST = "?"
"""Stands for the leader's host in a lease that cannot be decoded."""

LeaseResult: TypeAlias = "StoredLease | Absent | Unavailable"

logger = logging.getLogger(__name__)


class LeaseObject:
    """Reads the lease, and changes it by conditional updates only."""

    def __init__(self, store: ObjectStore) -> None:
        """Create the accessor without reading the lease.

        Args:
            store: The object store.
        """
        self._store = store

    async def read_stale(self) -> LeaseResult:
        """Read the lease from a copy that may be some seconds old.

        Returns:
            The lease, or why there is none.
        """
        found = await self._store.read(LEASE_KIND, LEASE_NAME, allow_stale=True)
        return _decode_lease(found) if isinstance(found, StoredObject) else found

    async def read(self) -> LeaseResult:
        """Read the latest version of the lease.

        Returns:
            The lease, or why there is none.
        """
        found = await self._store.read(LEASE_KIND, LEASE_NAME)
        return _decode_lease(found) if isinstance(found, StoredObject) else found

    async def put(self, lease: Lease, version: int | None) -> LeaseResult:
        """Replace one version of the lease.

        Args:
            lease: The lease.
            version: The version to replace, or None to create the lease.

        Returns:
            The lease that is stored now, which may be another one. `Absent` if
            the store refused the write because the version was removed.
            `Unavailable` if the store could not be reached, or if the write's
            result was unknown and no later read showed a new version.
        """
        body = msgspec.json.encode(lease)
        match await self._store.write(LEASE_KIND, LEASE_NAME, body, version):
            case Written(version=written):
                # If the store was restored meanwhile, the version has another
                # era than the lease.
                return StoredLease(written, lease)
            case Conflict(current=current):
                return (
                    current if isinstance(current, Absent) else _decode_lease(current)
                )
            case Unavailable() as unavailable:
                return unavailable
            case WriteUnknown():
                return await self._read_back(version)

    async def _read_back(self, version: int | None) -> LeaseResult:
        """Read the lease after a write whose result is unknown.

        Args:
            version: The version that the write was to replace.
        """
        for _ in range(MAX_READ_BACK_ATTEMPTS):
            match await self._store.read(LEASE_KIND, LEASE_NAME):
                case StoredObject() as found if found.version != version:
                    return _decode_lease(found)
                case StoredObject() | Absent():
                    return Unavailable("the lease was not written")
            await asyncio.sleep(READ_BACK_DELAY_SECONDS)
        return Unavailable("it is unknown whether the lease was written")


def _decode_lease(found: StoredObject) -> StoredLease:
    try:
        lease = msgspec.json.decode(found.body, type=Lease)
        if not (0 <= lease.epoch < MAX_INTEGER and 0 <= lease.beat <= MAX_INTEGER):
            raise ValueError("the epoch or the beat is out of range")
        if not 0 <= lease.era <= MAX_ERA:
            raise ValueError("the era is out of range")
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        logger.warning("lease-unreadable", extra={"reason": str(error)[:200]})
        lease = Lease(0, UNREADABLE_HOST, "", 0)
    return StoredLease(found.version, lease)
