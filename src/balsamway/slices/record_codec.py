"""Turns shard records into the store's bytes and back."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from balsamway.slices.position import POSITION_END
from balsamway.slices.shard_record import ShardRecord

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamway.slices.slice_map import Ranged


class RecordError(ValueError):
    """The bytes are no record of a shard."""


def encode_record(record: ShardRecord) -> bytes:
    """Encodes a record.

    Args:
        record: The record; its slices cover every position once.

    Returns:
        The record as JSON.

    Raises:
        RecordError: If the slices leave a gap or overlap.
    """
    check_cover(record.slices)
    return msgspec.json.encode(record)


def decode_record(body: bytes) -> ShardRecord:
    """Decodes a record.

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


def check_cover(slices: Sequence[Ranged]) -> None:
    """Checks that slices are sorted and cover every position exactly once.

    Args:
        slices: The slices of one shard.

    Raises:
        RecordError: If they do not.
    """
    start = 0
    for one in slices:
        if one.range.start != start or one.range.end <= start:
            raise RecordError(f"no slice starts at {start}")
        start = one.range.end
    if start != POSITION_END:
        raise RecordError(f"slices end at {start}")
