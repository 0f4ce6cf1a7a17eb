"""Writes down the times during which a target held ranges."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.standins.journal import GrantHeld

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.slices import ShardId
    from balsamway.standins.target.shard_grant import ShardGrant
    from balsamway.targets.orders import GrantedRange


class GrantJournal:
    """Turns grants and releases into intervals of the runtime's clock."""

    def __init__(
        self,
        target: str,
        clock_offset: float,
        closed: Callable[[GrantHeld], None],
    ) -> None:
        self._target = target
        self._clock_offset = clock_offset
        self._closed = closed
        self._open: dict[tuple[ShardId, GrantedRange], tuple[float, float]] = {}

    def update(self, shard: ShardId, held: ShardGrant, clock: float) -> None:
        """Records what a target holds of a shard from now on.

        Args:
            shard: The shard.
            held: What it holds.
            clock: The target's clock, in seconds.
        """
        now = clock - self._clock_offset
        until = held.valid_until - self._clock_offset
        for key in [key for key in self._open if key[0] == shard]:
            start, end = self._open[key]
            if key[1] in held.ranges and now < end:
                continue
            del self._open[key]
            self._closed(self._interval(key, start, min(end, now)))
        for granted in held.ranges:
            start, _ = self._open.get((shard, granted), (now, until))
            if until > now:
                self._open[(shard, granted)] = (start, until)

    def still_open(self) -> tuple[GrantHeld, ...]:
        """Lists the intervals that have not been closed, to their lapse."""
        return tuple(
            self._interval(key, start, end) for key, (start, end) in self._open.items()
        )

    def _interval(
        self, key: tuple[ShardId, GrantedRange], start: float, end: float
    ) -> GrantHeld:
        shard, granted = key
        return GrantHeld(
            self._target, str(shard), granted.range, granted.epoch, start, end
        )
