"""Reports the load that a gateway sees to the leaders of the shards."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import mode

if TYPE_CHECKING:
    from balsamway.balance.load_recorder import LoadRecorder
    from balsamway.balance.slice_source import SliceSource
    from balsamway.membership.directory import Directory
    from balsamway.peers.peers import Peers

REPORT_INTERVAL_SECONDS = 1.0
"""The interval between two reports on a shard."""


class LoadReporter(mode.Service):
    """Sends one report per shard and interval."""

    def __init__(
        self,
        recorder: LoadRecorder,
        slices: SliceSource,
        directory: Directory,
        peers: Peers,
    ) -> None:
        """Create the reporter.

        Args:
            recorder: Records the load of this gateway's requests.
            slices: Knows the slices of each shard.
            directory: Knows the leader of each shard.
            peers: Sends the reports.
        """
        super().__init__()
        self._recorder = recorder
        self._slices = slices
        self._directory = directory
        self._peers = peers
        self._sent = 0
        self._unsent = 0

    @mode.Service.task
    async def _report_regularly(self) -> None:
        loop = asyncio.get_running_loop()
        last = loop.time()
        while not self.should_stop:
            await self.sleep(REPORT_INTERVAL_SECONDS)
            now = loop.time()
            if now > last:
                self.report(now - last)
            last = now

    def report(self, interval_seconds: float) -> None:
        """Send the load since the last report, for each shard.

        Reports on shards without a known leader are dropped.

        Args:
            interval_seconds: The time since the last report.
        """
        for shard in self._recorder.shards:
            ranges = self._slices.ranges_of(shard)
            report = self._recorder.take(shard, interval_seconds, ranges)
            leader = self._directory.leader_of(shard)
            if leader is None:
                self._unsent += 1
                continue
            self._peers.send(leader, report)
            self._sent += 1

    def dump(self) -> dict[str, object]:
        """Return the reporter's state for the state dump."""
        return {
            "sent": self._sent,
            "unsent": self._unsent,
            "recorder": self._recorder.dump(),
        }
