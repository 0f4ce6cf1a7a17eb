"""The stored record of a service's keys."""

from __future__ import annotations

import bisect
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import msgspec

from balsamway.keyspace.holder import Holder
from balsamway.keyspace.segment import Previous, Segment
from balsamway.outcome import Malformed

if TYPE_CHECKING:
    from collections.abc import Mapping

KEY_COUNT = 65_536
"""Keys are the numbers below this."""


@dataclass(frozen=True, slots=True)
class KeyRecord:
    """Who holds which keys of a service, written before any grant is sent."""

    epoch: int
    """The leadership under which it was written."""
    next_token: int
    """All tokens in use are lower."""
    segments: tuple[Segment, ...]
    """In the order of keys, without gaps; empty before the first grant."""

    def find(self, key: int) -> Segment | None:
        """Gives the segment of a key, or None.

        Args:
            key: The key.
        """
        if not self.segments:
            return None
        place = bisect.bisect_left(self.segments, key, key=lambda one: one.last)
        return self.segments[place]

    def reassign(self, moves: Mapping[tuple[int, int], Holder]) -> KeyRecord:
        """Gives ranges to other holders, or to the same under a new token.

        Args:
            moves: The new holder of each range; ranges do not overlap.

        Returns:
            The record in which each moved range is a segment of its own,
            with a token for the release of the old holder and a higher one
            for the grant to the new.
        """
        segments: list[Segment] = []
        token = self.next_token
        for part, holder in _parts(self.segments, moves):
            if holder is None:
                segments.append(part)
                continue
            previous = part.previous
            if holder != part.holder:
                previous = (*previous, Previous(part.holder, token))
            segments.append(
                replace(part, holder=holder, token=token + 1, previous=previous)
            )
            token += 2
        return replace(self, segments=tuple(segments), next_token=token)

    def settle(self, settled: set[tuple[int, int, Previous]]) -> KeyRecord:
        """Forgets previous holders that no longer hold.

        Args:
            settled: The first and last key of a segment, and the previous
                holder that holds none of them any more.

        Returns:
            The record without them.
        """
        return replace(
            self,
            segments=tuple(
                replace(
                    one,
                    previous=tuple(
                        previous
                        for previous in one.previous
                        if (one.first, one.last, previous) not in settled
                    ),
                )
                if one.previous
                else one
                for one in self.segments
            ),
        )


def _parts(
    segments: tuple[Segment, ...], moves: Mapping[tuple[int, int], Holder]
) -> list[tuple[Segment, Holder | None]]:
    """Cuts segments at the borders of the moved ranges."""
    ranges = sorted(moves)
    parts: list[tuple[Segment, Holder | None]] = []
    for segment in segments:
        at = segment.first
        for first, last in ranges:
            begin, end = max(first, segment.first), min(last, segment.last)
            if begin > end:
                continue
            if at < begin:
                parts.append((replace(segment, first=at, last=begin - 1), None))
            moved = replace(segment, first=begin, last=end)
            parts.append((moved, moves[(first, last)]))
            at = end + 1
        if at <= segment.last:
            parts.append((replace(segment, first=at), None))
    return parts


class _Stored(msgspec.Struct, frozen=True):
    epoch: int
    next_token: int
    segments: list[tuple[int, int, str, int, int, list[tuple[str, int, int]]]]


def encode_record(record: KeyRecord) -> bytes:
    """Encodes a record as it is stored.

    Args:
        record: The record.

    Returns:
        JSON.
    """
    return msgspec.json.encode(
        _Stored(
            record.epoch,
            record.next_token,
            [
                (
                    one.first,
                    one.last,
                    one.holder.name,
                    one.holder.incarnation,
                    one.token,
                    [
                        (p.holder.name, p.holder.incarnation, p.release_token)
                        for p in one.previous
                    ],
                )
                for one in record.segments
            ],
        )
    )


def decode_record(body: bytes) -> KeyRecord | Malformed:
    """Decodes a stored record.

    Args:
        body: The stored value.

    Returns:
        The record, or what is wrong with it.
    """
    try:
        found = msgspec.json.decode(body, type=_Stored)
    except msgspec.MsgspecError as error:
        return Malformed(str(error))
    segments = tuple(
        Segment(
            first,
            last,
            Holder(name, incarnation),
            token,
            tuple(Previous(Holder(n, i), t) for n, i, t in previous),
        )
        for first, last, name, incarnation, token, previous in found.segments
    )
    expected = 0
    for segment in segments:
        if segment.first != expected or segment.last < segment.first:
            return Malformed(f"keys {expected} to {segment.first} have no holder")
        expected = segment.last + 1
    if segments and expected != KEY_COUNT:
        return Malformed(f"keys from {expected} on have no holder")
    return KeyRecord(found.epoch, found.next_token, segments)
