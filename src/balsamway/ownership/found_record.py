"""A shard's record as read from the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from balsamway.slices import ShardRecord


@dataclass(frozen=True, slots=True)
class FoundRecord:
    """A record and the version of the object that holds it."""

    record: ShardRecord | None
    """None where the store holds no record of the shard."""
    object_version: int | None
    seen_at: float
    """When this version was first seen, by the runtime's clock."""
    roster_gone: bool = False
    """Whether the roster has no majority left that can promise anything."""
