"""The object of the store that holds the lease."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, TypeAlias

import msgspec

from balsamway.keyspace.stored_lease import Lease, StoredLease
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
READ_BACK_SECONDS = 0.1
"""The pause between attempts to learn what became of a write."""
READ_TRIES = 8
UNREADABLE = "?"
"""Stands for the holder of a lease that cannot be read."""

LeaseResult: TypeAlias = "StoredLease | Absent | Unavailable"

logger = logging.getLogger(__name__)


class LeaseObject:
    """Reads the lease, and changes it by conditional updates only."""

    def __init__(self, store: ObjectStore) -> None:
        """Takes the store; nothing is read yet.

        Args:
            store: The store.
        """
        self._store = store

    async def read_old(self) -> LeaseResult:
        """Reads the lease from a copy that may be some seconds old.

        Returns:
            The lease, or why there is none.
        """
        found = await self._store.read(LEASE_KIND, LEASE_NAME, allow_stale=True)
        return _stored(found) if isinstance(found, StoredObject) else found

    async def put(self, lease: Lease, version: int | None) -> LeaseResult:
        """Writes the lease in place of one version.

        Args:
            lease: The lease.
            version: The version to replace; None to create it.

        Returns:
            What is stored now, which may be another lease; `Absent` if that
            version was removed; `Unavailable` if the lease was not written,
            or if that is not known.
        """
        body = msgspec.json.encode(lease)
        match await self._store.write(LEASE_KIND, LEASE_NAME, body, version):
            case Written(version=written):
                return StoredLease(written, lease)
            case Conflict(current=current):
                return current if isinstance(current, Absent) else _stored(current)
            case Unavailable() as unavailable:
                return unavailable
            case WriteUnknown():
                return await self._read_back(version)

    async def _read_back(self, version: int | None) -> LeaseResult:
        for _ in range(READ_TRIES):
            match await self._store.read(LEASE_KIND, LEASE_NAME):
                case StoredObject() as found if found.version != version:
                    return _stored(found)
                case StoredObject() | Absent():
                    return Unavailable("the lease was not written")
            await asyncio.sleep(READ_BACK_SECONDS)
        return Unavailable("what became of the lease is not known")


def _stored(found: StoredObject) -> StoredLease:
    try:
        lease = msgspec.json.decode(found.body, type=Lease)
    except msgspec.MsgspecError as error:
        logger.warning("lease-unreadable", extra={"reason": str(error)})
        lease = Lease(0, UNREADABLE, "", 0)
    return StoredLease(found.version, lease)
