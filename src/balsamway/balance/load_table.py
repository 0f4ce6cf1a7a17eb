"""The load estimates of the shards led on this host."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.balance.load_estimate import LoadEstimate
from balsamway.ownership.messages import LoadReport

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamway.balance.placement_input import SliceLoad
    from balsamway.ownership.messages import KeyLoad
    from balsamway.peers.peers import Peers
    from balsamway.slices import KeyRange, ShardId


class LoadTable:
    """Keeps an estimate for each shard that gateways report on."""

    def __init__(self, peers: Peers) -> None:
        """Create an empty table and register for reports.

        Args:
            peers: Delivers the reports of the gateways.
        """
        self._estimates: dict[ShardId, LoadEstimate] = {}
        peers.handle(LoadReport, self._on_load_report)

    def slice_loads(
        self, shard: ShardId, ranges: Sequence[KeyRange]
    ) -> tuple[SliceLoad, ...]:
        """Estimate the load of each slice of a shard.

        Args:
            shard: The shard.
            ranges: The present slices, in order.

        Returns:
            One estimate for each slice, or none if nothing was reported.
        """
        estimate = self._current(shard)
        if estimate is None:
            return ()
        return estimate.loads(ranges, asyncio.get_running_loop().time())

    def hot_keys(self, shard: ShardId) -> tuple[KeyLoad, ...]:
        """Return the keys of a shard with the most load, in descending order.

        Args:
            shard: The shard.

        Returns:
            The keys, or none if nothing was reported.
        """
        estimate = self._current(shard)
        return estimate.hot_keys() if estimate is not None else ()

    def dump(self) -> dict[str, object]:
        """Return the estimates for the state dump."""
        return {
            str(shard): estimate.dump() for shard, estimate in self._estimates.items()
        }

    def _current(self, shard: ShardId) -> LoadEstimate | None:
        estimate = self._estimates.get(shard)
        if estimate is not None:
            estimate.drop_silent_gateways(asyncio.get_running_loop().time())
        return estimate

    async def _on_load_report(self, sender: str, report: LoadReport) -> None:
        estimate = self._estimates.setdefault(report.shard, LoadEstimate())
        estimate.update(sender, report, asyncio.get_running_loop().time())
