"""Encodes shard records for the store, and decodes them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from balsamway.slices.position import POSITION_END
from balsamway.slices.shard_record import ShardRecord

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamway.slices.slice_map import HasRange


class RecordError(ValueError):
    """A shard record is malformed, or its slices leave a gap or overlap."""


def encode_record(record: ShardRecord) -> bytes:
    """Encode a shard record.

    Args:
        record: The record. Its slices must cover every position once.

    Returns:
        The record as JSON.

    Raises:
        RecordError: If the slices leave a gap or overlap.
    """
    check_cover(record.slices)
    return msgspec.json.encode(record)


def decode_record(body: bytes) -> ShardRecord:
    """Decode a shard record.

    Args:
        body: The record as JSON.

    Returns:
        The record.

    Raises:
        RecordError: If it is malformed, or its slices leave a gap or overlap.
    """
    try:
        record = msgspec.json.decode(body, type=ShardRecord)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RecordError(str(error)) from error
    check_cover(record.slices)
    return record


def check_cover(slices: Sequence[HasRange]) -> None:
    """Check that slices are sorted and cover every position exactly once.

    Args:
        slices: The slices of one shard.

    Raises:
        RecordError: If they are not sorted, leave a gap or overlap.
    """
    start = 0
    for entry in slices:
        if entry.range.start != start or entry.range.end <= start:
            raise RecordError(f"no slice starts at position {start}")
        start = entry.range.end
    if start != POSITION_END:
        raise RecordError(f"slices end at {start} instead of the last position")
