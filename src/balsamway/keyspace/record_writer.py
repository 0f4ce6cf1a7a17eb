"""Writes a service's record, and learns whether the write had effect."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from balsamway.keyspace.key_record import encode_record
from balsamway.store.store import Absent, Conflict, StoredObject, Unavailable, Written

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.keyspace.key_record import KeyRecord
    from balsamway.store.object_store import ObjectStore

KEYS_KIND = "balsamway-keys"
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
        match await store.write(KEYS_KIND, service, body, version):
            case Written(version=written):
                return RecordWritten(written)
            case Conflict(current=StoredObject() as current) if current.body == body:
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
