"""Writes a service's record, and learns whether the write had effect."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from balsamway.keyspace.key_record import encode_record
from balsamway.store.era import era_of
from balsamway.store.store import Absent, Conflict, StoredObject, Unavailable, Written

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.keyspace.key_record import KeyRecord
    from balsamway.store.object_store import ObjectStore

KEY_RECORD_KIND = "balsamway-keys"
RETRY_DELAY_SECONDS = 0.15
"""The delay before a write with an unknown result is sent again."""

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class RecordWritten:
    """The record is stored."""

    version: int


@dataclass(frozen=True, slots=True)
class RecordRefused:
    """The record is not stored and will not be."""

    current: StoredObject | Absent | None
    """What is stored instead, or None if that is unknown."""

    @property
    def era(self) -> int | None:
        """The era of the store that refused the record, if it is known."""
        match self.current:
            case StoredObject(version=version):
                return era_of(version)
            case Absent(era=era):
                return era
        return None


@dataclass(frozen=True, slots=True)
class RecordUnknown:
    """The record may be stored, but this host no longer leads to find out."""


RecordResult: TypeAlias = RecordWritten | RecordRefused | RecordUnknown


async def write_record(
    store: ObjectStore,
    service: str,
    record: KeyRecord,
    version: int | None,
    is_leader: Callable[[], bool],
) -> RecordResult:
    """Write a record by a conditional update.

    A write whose result is unknown is sent again unchanged until the store
    decides. Whichever of the writes has effect, the same record is stored.

    A record that was stored in a later era than its own counts as refused. The
    store was restored meanwhile, and may have given out the replaced version
    once more.

    Args:
        store: The object store.
        service: The name of the service.
        record: The record.
        version: The version to replace, or None to create the record.
        is_leader: Tells whether this host leads at this moment.

    Returns:
        Whether the record is stored.
    """
    body = encode_record(record)
    is_unknown = False
    while is_leader():
        match await store.write(KEY_RECORD_KIND, service, body, version):
            case Written(version=written) if era_of(written) == record.era:
                return RecordWritten(written)
            case Written(version=written):
                return RecordRefused(StoredObject(service, written, body))
            case Conflict(current=StoredObject() as current) if (
                current.body == body and era_of(current.version) == record.era
            ):
                return RecordWritten(current.version)
            case Conflict(current=current):
                return RecordRefused(current)
            case Unavailable() if not is_unknown:
                return RecordRefused(None)
            case Unavailable():
                pass
            case _:
                is_unknown = True
        await asyncio.sleep(RETRY_DELAY_SECONDS)
    return RecordUnknown()
