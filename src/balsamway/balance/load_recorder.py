"""What a gateway counts of the load of the shards it routes for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.balance._running_median import RunningMedian
from balsamway.balance._slice_sums import SliceSums
from balsamway.balance.heavy_hitters import HeavyHitters
from balsamway.ownership.messages.load_report import LoadReport

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamway.slices import KeyRange, ShardId

KEYS_COUNTED = 128
"""How many keys of a shard a gateway counts apart."""

KEYS_REPORTED = 24
"""How many keys of a shard a report names at most."""

LEAST_SHARE_REPORTED = 0.004
"""The least share of the gateway's load of a shard that names a key."""


COST_AT_MOST = 1.2
"""What one request counts for at most, over the median of the shard."""


class LoadRecorder:
    """Counts the load of each slice and of the keys with the most load.

    A gateway sees how long a request took, its wait in the target included.
    At a target with a queue that is a multiple of the work, and a slice would
    seem heavier the longer the queue, so a request counts for little more
    than the median.
    """

    def __init__(self) -> None:
        self._sums: dict[ShardId, SliceSums] = {}
        self._keys: dict[ShardId, HeavyHitters] = {}
        self._medians: dict[ShardId, RunningMedian] = {}

    @property
    def shards(self) -> tuple[ShardId, ...]:
        """The shards that had requests, in order."""
        return tuple(sorted(self._sums))

    def record(self, shard: ShardId, position: int, busy_seconds: float) -> None:
        """Counts one request that a target ran.

        Args:
            shard: The shard of the key.
            position: The position of the key.
            busy_seconds: The time from sending the request to its answer.
        """
        if shard not in self._sums:
            self._sums[shard] = SliceSums()
            self._keys[shard] = HeavyHitters(KEYS_COUNTED)
            self._medians[shard] = RunningMedian()
        median = self._medians[shard]
        median.add(busy_seconds)
        cost = min(busy_seconds, median.value * COST_AT_MOST)
        self._sums[shard].record(position, cost)
        self._keys[shard].record(position, cost)

    def take(
        self, shard: ShardId, interval_seconds: float, ranges: Sequence[KeyRange]
    ) -> LoadReport:
        """Gives the counts of an interval and begins the next.

        Args:
            shard: One of `shards`.
            interval_seconds: How long the interval was.
            ranges: The shard's slices in the next interval.

        Returns:
            The report for the shard's leader.
        """
        sums = self._sums[shard]
        keys = self._keys[shard]
        floor = sums.total * LEAST_SHARE_REPORTED
        report = LoadReport(
            shard, interval_seconds, sums.loads(), keys.top(KEYS_REPORTED, floor)
        )
        sums.reset(ranges)
        keys.halve()
        return report

    def dump(self) -> dict[str, object]:
        """Describes the recorder for the state dump."""
        return {
            str(shard): {"busy_seconds": sums.total, "keys": len(self._keys[shard])}
            for shard, sums in sorted(self._sums.items())
        }
