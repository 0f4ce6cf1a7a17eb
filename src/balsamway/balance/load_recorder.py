"""Records the load that a gateway sees on the shards it routes to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamway.balance._running_median import RunningMedian
from balsamway.balance._slice_sums import SliceSums
from balsamway.balance.heavy_hitters import HeavyHitters
from balsamway.ownership.messages.load_report import LoadReport

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamway.slices import KeyRange, ShardId

MAX_COUNTED_KEYS = 128
"""The most keys of a shard that a gateway counts one by one."""

MAX_REPORTED_KEYS = 24
"""The most keys of a shard that a report lists."""

MIN_REPORTED_FRACTION = 0.004
"""A key is listed above this fraction of the gateway's load of a shard."""


MAX_COST_RATIO = 1.2
"""The most busy seconds that count for one request, as a ratio to the median
of the shard."""


class LoadRecorder:
    """Records the load of each slice and of the keys with the most load.

    A gateway sees how long a request took, including its wait at the target.
    At a target with a queue, that is a multiple of the service time, and a
    slice would seem to have more load the longer the queue is. A request
    therefore counts for little more than the median.
    """

    def __init__(self) -> None:
        self._sums: dict[ShardId, SliceSums] = {}
        self._keys: dict[ShardId, HeavyHitters] = {}
        self._medians: dict[ShardId, RunningMedian] = {}

    @property
    def shards(self) -> tuple[ShardId, ...]:
        """The shards that have had requests, in order."""
        return tuple(sorted(self._sums))

    def record(self, shard: ShardId, position: int, busy_seconds: float) -> None:
        """Record one request that a target ran.

        Args:
            shard: The shard of the request's key.
            position: The position of the key.
            busy_seconds: The time from sending the request to its response,
                in seconds.
        """
        if shard not in self._sums:
            self._sums[shard] = SliceSums()
            self._keys[shard] = HeavyHitters(MAX_COUNTED_KEYS)
            self._medians[shard] = RunningMedian()
        median = self._medians[shard]
        median.add(busy_seconds)
        cost = min(busy_seconds, median.value * MAX_COST_RATIO)
        self._sums[shard].record(position, cost)
        self._keys[shard].record(position, cost)

    def take(
        self, shard: ShardId, interval_seconds: float, ranges: Sequence[KeyRange]
    ) -> LoadReport:
        """Return the load of the present interval, and begin the next one.

        Args:
            shard: One of `shards`.
            interval_seconds: The length of the present interval.
            ranges: The shard's slices in the next interval.

        Returns:
            The report for the shard's leader.
        """
        sums = self._sums[shard]
        keys = self._keys[shard]
        min_busy_seconds = sums.total * MIN_REPORTED_FRACTION
        report = LoadReport(
            shard,
            interval_seconds,
            sums.loads(),
            keys.top(MAX_REPORTED_KEYS, min_busy_seconds),
        )
        sums.reset(ranges)
        keys.halve()
        return report

    def dump(self) -> dict[str, object]:
        """Return the recorded load for the state dump."""
        return {
            str(shard): {"busy_seconds": sums.total, "keys": len(self._keys[shard])}
            for shard, sums in sorted(self._sums.items())
        }
