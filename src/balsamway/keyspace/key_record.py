"""The stored record of who owns the keys of a service."""

from __future__ import annotations

import bisect
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Annotated

import msgspec

from balsamway.keyspace.segment import PreviousOwner, Segment
from balsamway.keyspace.target_incarnation import TargetIncarnation
from balsamway.outcome import Malformed

if TYPE_CHECKING:
    from collections.abc import Mapping

KEY_COUNT = 65_536
"""The number of keys. Keys are the integers from 0 up to one less than it."""


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """The owners of a service's keys, written before any grant is sent."""

    epoch: int
    """The epoch of the leadership that wrote the record."""
    next_token: int
    """The lowest unused fencing token."""
    segments: tuple[Segment, ...]
    """In the order of keys, without gaps. Empty before the first grant."""
    era: int = 0
    """The era of the store in which the record was written. One of an earlier
    era than the store's is from a copy, and may be older than grants that are
    in force."""

    def find(self, key: int) -> Segment | None:
        """Return the segment of a key, or None if there are no segments.

        Args:
            key: The key.
        """
        if not self.segments:
            return None
        index = bisect.bisect_left(self.segments, key, key=lambda segment: segment.last)
        return self.segments[index]

    def reassign(self, moves: Mapping[tuple[int, int], TargetIncarnation]) -> KeyRecord:
        """Assign ranges to other owners, or to the same under a new token.

        Args:
            moves: The new owner of each range of keys. Ranges do not overlap.

        Returns:
            The record in which each moved range is a segment of its own. A
            segment with a new owner has a token for the release of the
            previous owner, and a higher token for the grant to the new one.
        """
        segments: list[Segment] = []
        token = self.next_token
        for part, owner in _split_at_moves(self.segments, moves):
            if owner is None:
                segments.append(part)
                continue
            previous_owners = part.previous_owners
            if owner != part.owner:
                previous_owners = (*previous_owners, PreviousOwner(part.owner, token))
            segments.append(
                replace(
                    part,
                    owner=owner,
                    token=token + 1,
                    previous_owners=previous_owners,
                )
            )
            token += 2
        return replace(self, segments=tuple(segments), next_token=token)

    def drop_released(
        self, released_owners: set[tuple[int, int, PreviousOwner]]
    ) -> KeyRecord:
        """Remove previous owners that no longer own anything.

        Args:
            released_owners: The first and last key of a segment, and the
                previous owner that owns none of these keys any more.

        Returns:
            The record without them.
        """
        return replace(
            self,
            segments=tuple(
                replace(
                    segment,
                    previous_owners=tuple(
                        previous
                        for previous in segment.previous_owners
                        if (segment.first, segment.last, previous)
                        not in released_owners
                    ),
                )
                if segment.previous_owners
                else segment
                for segment in self.segments
            ),
        )


def _split_at_moves(
    segments: tuple[Segment, ...], moves: Mapping[tuple[int, int], TargetIncarnation]
) -> list[tuple[Segment, TargetIncarnation | None]]:
    """Split segments at the bounds of the moved ranges.

    Args:
        segments: The segments of the record.
        moves: The new owner of each range of keys.

    Returns:
        The resulting segments in order, each with its new owner, or None if
        it does not move.
    """
    ranges = sorted(moves)
    parts: list[tuple[Segment, TargetIncarnation | None]] = []
    for segment in segments:
        next_key = segment.first
        for first, last in ranges:
            begin, end = max(first, segment.first), min(last, segment.last)
            if begin > end:
                continue
            if next_key < begin:
                parts.append((replace(segment, first=next_key, last=begin - 1), None))
            moved = replace(segment, first=begin, last=end)
            parts.append((moved, moves[(first, last)]))
            next_key = end + 1
        if next_key <= segment.last:
            parts.append((replace(segment, first=next_key), None))
    return parts


_Int64 = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
"""Messages between hosts carry integers of 64 bits."""
_StoredPreviousOwner = tuple[str, _Int64, _Int64]
_StoredSegment = tuple[_Int64, _Int64, str, _Int64, _Int64, list[_StoredPreviousOwner]]


class _Stored(msgspec.Struct, frozen=True):
    epoch: _Int64
    next_token: _Int64
    segments: list[_StoredSegment]
    era: _Int64 = 0


def encode_record(record: KeyRecord) -> bytes:
    """Encode a record as it is stored.

    Args:
        record: The record.

    Returns:
        The record as JSON.
    """
    return msgspec.json.encode(
        _Stored(
            record.epoch,
            record.next_token,
            [
                (
                    segment.first,
                    segment.last,
                    segment.owner.name,
                    segment.owner.incarnation,
                    segment.token,
                    [
                        (
                            previous.owner.name,
                            previous.owner.incarnation,
                            previous.release_token,
                        )
                        for previous in segment.previous_owners
                    ],
                )
                for segment in record.segments
            ],
            record.era,
        )
    )


def decode_record(body: bytes) -> KeyRecord | Malformed:
    """Decode a stored record.

    Args:
        body: The stored record as JSON.

    Returns:
        The record, or the reason why it is malformed.
    """
    try:
        stored = msgspec.json.decode(body, type=_Stored)
    except (msgspec.MsgspecError, RecursionError) as error:
        return Malformed(str(error))
    segments = tuple(
        Segment(
            first,
            last,
            TargetIncarnation(name, incarnation),
            token,
            tuple(
                PreviousOwner(
                    TargetIncarnation(previous_name, previous_incarnation),
                    release_token,
                )
                for previous_name, previous_incarnation, release_token in previous
            ),
        )
        for first, last, name, incarnation, token, previous in stored.segments
    )
    next_key = 0
    for segment in segments:
        if segment.first != next_key or segment.last < segment.first:
            return Malformed(f"keys {next_key} to {segment.first} have no owner")
        next_key = segment.last + 1
    if segments and next_key != KEY_COUNT:
        return Malformed(f"keys from {next_key} on have no owner")
    return KeyRecord(stored.epoch, stored.next_token, segments, stored.era)
