from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace

from balsamway.slices import ShardId
from balsamway.store import Host, HostRole
from balsamway.targets.orders import (
    GrantedRange,
    GrantOrder,
    GrantReport,
    OrderRefused,
    ReleaseOrder,
    SurveyOrder,
)
from tests.fakes.ownership_interval import OwnershipInterval


@dataclass(slots=True)
class _Holding:
    """What a target knows of one shard: the last order and its grants."""

    leader_epoch: int = 0
    generation: int = 0
    ranges: tuple[GrantedRange, ...] = ()
    valid_until: float = 0.0


class FakeTarget:
    """A target with grants, its own clock and a record of what it owned.

    Args:
        name: The target's name.
        zone: Its availability zone.
        checks: Whether it enforces leader epochs, so refuses older orders.
        clock_offset: Seconds on its clock at event loop time zero.
        clock_rate: Seconds on its clock per second of event loop time.
        drain_seconds: Time that requests in progress take at a release.
        workspace: The workspace of its service.
        service: The service that it runs.
    """

    def __init__(
        self,
        name: str,
        zone: str = "z1",
        checks: bool = True,
        clock_offset: float = 0.0,
        clock_rate: float = 1.0,
        drain_seconds: float = 0.002,
        workspace: str = "m",
        service: str = "s",
    ) -> None:
        self.host = Host(name, HostRole.TARGET, zone, f"{name}:1", workspace, service)
        self.checks = checks
        self.clock_offset = clock_offset
        self.clock_rate = clock_rate
        self.drain_seconds = drain_seconds
        self.leaving = False
        self.lost = False
        self.running = asyncio.Event()
        self.running.set()
        self.closed: list[OwnershipInterval] = []
        self.refusals = 0
        self._open: list[OwnershipInterval] = []
        self._held: dict[ShardId, _Holding] = {}

    @property
    def name(self) -> str:
        return self.host.name

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    @property
    def clock(self) -> float:
        return self.clock_offset + self.clock_rate * self.now

    def freeze(self) -> None:
        self.running.clear()

    def thaw(self) -> None:
        self.running.set()

    def lose(self) -> None:
        """End the process, and with it all grants."""
        self.lost = True
        for shard in list(self._held):
            self._close(shard)
        self._held.clear()

    def restart(self) -> None:
        self.lost = False

    def owns(self, shard: ShardId, position: int, epoch: int | None = None) -> bool:
        grants = self._held.get(shard)
        if self.lost or grants is None or grants.valid_until <= self.clock:
            return False
        return any(
            position in granted.range and epoch in (None, granted.epoch)
            for granted in grants.ranges
        )

    def intervals(self) -> list[OwnershipInterval]:
        """Return all intervals of ownership so far, with the open ones."""
        now = self.now
        still_open = [
            replace(interval, end=min(interval.end, now)) for interval in self._open
        ]
        return self.closed + [
            interval for interval in still_open if interval.end > interval.start
        ]

    def survey(self, order: SurveyOrder) -> GrantReport | OrderRefused:
        grants = self._held.setdefault(order.shard, _Holding())
        if self.checks and order.leader_epoch < grants.leader_epoch:
            return self._refused(grants)
        if order.leader_epoch > grants.leader_epoch:
            grants.leader_epoch = order.leader_epoch
            grants.generation = 0
        return self._state(order.shard)

    def grant(self, order: GrantOrder) -> GrantReport | OrderRefused:
        grants = self._held.setdefault(order.shard, _Holding())
        if not self._accepts(grants, order.leader_epoch, order.generation):
            return self._refused(grants)
        self._close(order.shard)
        grants.ranges = order.ranges
        grants.valid_until = order.valid_until
        self._reopen(order.shard)
        return self._state(order.shard)

    async def release(self, order: ReleaseOrder) -> GrantReport | OrderRefused:
        grants = self._held.setdefault(order.shard, _Holding())
        if not self._accepts(grants, order.leader_epoch, order.generation):
            return self._refused(grants)
        await asyncio.sleep(self.drain_seconds)
        self._close(order.shard)
        released = set(order.ranges)
        grants.ranges = tuple(
            granted for granted in grants.ranges if granted.range not in released
        )
        self._reopen(order.shard)
        return self._state(order.shard)

    def _accepts(self, grants: _Holding, epoch: int, generation: int) -> bool:
        if self.checks and (epoch, generation) < (
            grants.leader_epoch,
            grants.generation,
        ):
            return False
        grants.leader_epoch = epoch
        grants.generation = generation
        return True

    def _refused(self, grants: _Holding) -> OrderRefused:
        self.refusals += 1
        return OrderRefused(grants.leader_epoch, self.clock)

    def _state(self, shard: ShardId) -> GrantReport:
        grants = self._held[shard]
        return GrantReport(
            self.clock,
            self.checks,
            grants.ranges,
            grants.valid_until,
            self.leaving,
        )

    def _close(self, shard: ShardId) -> None:
        now = self.now
        for interval in [opened for opened in self._open if opened.shard == shard]:
            self._open.remove(interval)
            ended = replace(interval, end=min(interval.end, now))
            if ended.end > ended.start:
                self.closed.append(ended)

    def _reopen(self, shard: ShardId) -> None:
        grants = self._held[shard]
        end = (grants.valid_until - self.clock_offset) / self.clock_rate
        self._open += [
            OwnershipInterval(
                self.name, shard, granted.range, granted.epoch, self.now, end
            )
            for granted in grants.ranges
        ]
