"""Takes the load reports of all gateways for the shards led here."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.balance.load_estimate import LoadEstimate
from balsamway.ownership.messages.load_report import LoadReport

if TYPE_CHECKING:
    from collections.abc import Sequence

    from balsamway.balance.placement_input import SliceLoad
    from balsamway.ownership.messages.key_load import KeyLoad
    from balsamway.peers.peers import Peers
    from balsamway.slices import KeyRange, ShardId

SHARD_SILENCE_SECONDS = 30.0
"""A shard that no gateway reported for this long is forgotten."""


class LoadReceiver:
    """Keeps one estimate for each shard that gateways report to this host."""

    def __init__(self, peers: Peers) -> None:
        """Begins to take reports.

        Args:
            peers: Hands the reports over.
        """
        self._estimates: dict[ShardId, LoadEstimate] = {}
        self._heard_at: dict[ShardId, float] = {}
        peers.handle(LoadReport, self._on_load_report)

    def slice_loads(
        self, shard: ShardId, ranges: Sequence[KeyRange]
    ) -> tuple[SliceLoad, ...]:
        """Estimates the load of each slice.

        Args:
            shard: The shard.
            ranges: The slices as they are now, in order.

        Returns:
            One estimate for each slice; empty where nothing was reported.
        """
        estimate = self._estimates.get(shard)
        if estimate is None:
            return ()
        estimate.forget_silent(asyncio.get_running_loop().time())
        return estimate.loads(ranges)

    def hot_keys(self, shard: ShardId) -> tuple[KeyLoad, ...]:
        """Lists the keys of a shard with the most load, greatest first.

        Args:
            shard: The shard.

        Returns:
            The keys; empty where nothing was reported.
        """
        estimate = self._estimates.get(shard)
        return estimate.hot_keys() if estimate else ()

    def dump(self) -> dict[str, object]:
        """Describes the estimates for the state dump."""
        return {
            str(shard): estimate.dump()
            for shard, estimate in sorted(self._estimates.items())
        }

    async def _on_load_report(self, host: str, message: LoadReport) -> None:
        now = asyncio.get_running_loop().time()
        self._forget_shards(now)
        estimate = self._estimates.setdefault(message.shard, LoadEstimate())
        estimate.update(host, message, now)
        self._heard_at[message.shard] = now

    def _forget_shards(self, now: float) -> None:
        for shard, heard_at in list(self._heard_at.items()):
            if now - heard_at > SHARD_SILENCE_SECONDS:
                del self._heard_at[shard]
                del self._estimates[shard]
