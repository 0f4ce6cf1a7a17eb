"""Reports the load that a gateway saw to the leaders of its shards."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import mode

if TYPE_CHECKING:
    from balsamway.balance.load_recorder import LoadRecorder
    from balsamway.balance.slice_source import SliceSource
    from balsamway.membership.host_directory import HostDirectory
    from balsamway.peers.peers import Peers

REPORT_INTERVAL_SECONDS = 1.0


class LoadReporter(mode.Service):
    """Sends one report for each shard and interval."""

    def __init__(
        self,
        recorder: LoadRecorder,
        slices: SliceSource,
        directory: HostDirectory,
        peers: Peers,
    ) -> None:
        """Creates the reporter.

        Args:
            recorder: Counts the requests of this gateway.
            slices: Tells the slices of each shard.
            directory: Names the leader of each shard.
            peers: Carries the reports.
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
        """Sends what was counted since the last report.

        Args:
            interval_seconds: How long ago that was.
        """
        for shard in self._recorder.shards:
            ranges = self._slices.slice_ranges(shard)
            report = self._recorder.take(shard, interval_seconds, ranges)
            leader = self._directory.leader_of(shard)
            if leader is None:
                self._unsent += 1
                continue
            self._peers.send(leader, report)
            self._sent += 1

    def dump(self) -> dict[str, object]:
        """Describes the reporter for the state dump."""
        return {
            "sent": self._sent,
            "unsent": self._unsent,
            "recorder": self._recorder.dump(),
        }
