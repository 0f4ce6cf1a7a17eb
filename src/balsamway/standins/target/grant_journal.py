"""Records the intervals during which a target holds slices."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.standins.journal import GrantHeld

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.slices import ShardId
    from balsamway.standins.target.shard_grant import ShardGrant
    from balsamway.targets.orders import GrantedRange


class GrantJournal:
    """Converts grants and releases to intervals of event loop time.

    An interval ends when its slice is released or its grant expires, whichever
    comes first.

    Args:
        target: The target's name.
        clock_offset: How far the target's clock is ahead of the event loop
            time, in seconds.
        on_closed: Receives each interval once it has ended.
    """

    def __init__(
        self,
        target: str,
        clock_offset: float,
        on_closed: Callable[[GrantHeld], None],
    ) -> None:
        self._target = target
        self._clock_offset = clock_offset
        self._on_closed = on_closed
        self._open_intervals: dict[
            tuple[ShardId, GrantedRange], tuple[float, float]
        ] = {}

    def update(self, shard: ShardId, grant: ShardGrant, clock: float) -> None:
        """Record which slices of a shard the target holds from now on.

        Args:
            shard: The shard whose grant changes.
            grant: The shard's grant after the change.
            clock: The current time of the target's clock, in seconds.
        """
        now = clock - self._clock_offset
        until = grant.valid_until - self._clock_offset
        for key in [key for key in self._open_intervals if key[0] == shard]:
            start, end = self._open_intervals[key]
            if key[1] in grant.ranges and now < end:
                continue
            del self._open_intervals[key]
            self._on_closed(self._interval(key, start, min(end, now)))
        for granted in grant.ranges:
            start, _ = self._open_intervals.get((shard, granted), (now, until))
            if until > now:
                self._open_intervals[(shard, granted)] = (start, until)

    def open_intervals(self) -> tuple[GrantHeld, ...]:
        """Return the intervals that have not ended, up to their expiry."""
        return tuple(
            self._interval(key, start, end)
            for key, (start, end) in self._open_intervals.items()
        )

    def _interval(
        self, key: tuple[ShardId, GrantedRange], start: float, end: float
    ) -> GrantHeld:
        shard, granted = key
        return GrantHeld(
            self._target, str(shard), granted.range, granted.epoch, start, end
        )
