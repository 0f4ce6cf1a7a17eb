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
    leader_epoch: int = 0
    generation: int = 0
    ranges: tuple[GrantedRange, ...] = ()
    valid_until: float = 0.0


class FakeTarget:
    """A target with grants, its own clock, and a journal of what it owned.

    Args:
        name: The target's name.
        zone: Its availability zone.
        checks: Whether it refuses orders of older epochs.
        clock_offset: What its clock shows when the loop's shows zero.
        clock_rate: Seconds of its clock for each second of the loop's.
        drain_seconds: How long the runs in progress take at a release.
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
        """The process is gone, with all that it held."""
        self.lost = True
        for shard in list(self._held):
            self._close(shard)
        self._held.clear()

    def restart(self) -> None:
        self.lost = False

    def owns(self, shard: ShardId, position: int, epoch: int | None = None) -> bool:
        holding = self._held.get(shard)
        if self.lost or holding is None or holding.valid_until <= self.clock:
            return False
        return any(
            position in granted.range and epoch in (None, granted.epoch)
            for granted in holding.ranges
        )

    def intervals(self) -> list[OwnershipInterval]:
        """Everything owned so far, what is still held included."""
        now = self.now
        still = [replace(one, end=min(one.end, now)) for one in self._open]
        return self.closed + [one for one in still if one.end > one.start]

    def survey(self, order: SurveyOrder) -> GrantReport | OrderRefused:
        holding = self._held.setdefault(order.shard, _Holding())
        if self.checks and order.leader_epoch < holding.leader_epoch:
            return self._refused(holding)
        if order.leader_epoch > holding.leader_epoch:
            holding.leader_epoch = order.leader_epoch
            holding.generation = 0
        return self._state(order.shard)

    def grant(self, order: GrantOrder) -> GrantReport | OrderRefused:
        holding = self._held.setdefault(order.shard, _Holding())
        if not self._accepts(holding, order.leader_epoch, order.generation):
            return self._refused(holding)
        self._close(order.shard)
        holding.ranges = order.ranges
        holding.valid_until = order.valid_until
        self._reopen(order.shard)
        return self._state(order.shard)

    async def release(self, order: ReleaseOrder) -> GrantReport | OrderRefused:
        holding = self._held.setdefault(order.shard, _Holding())
        if not self._accepts(holding, order.leader_epoch, order.generation):
            return self._refused(holding)
        await asyncio.sleep(self.drain_seconds)
        self._close(order.shard)
        released = set(order.ranges)
        holding.ranges = tuple(
            one for one in holding.ranges if one.range not in released
        )
        self._reopen(order.shard)
        return self._state(order.shard)

    def _accepts(self, holding: _Holding, epoch: int, generation: int) -> bool:
        if self.checks and (epoch, generation) < (
            holding.leader_epoch,
            holding.generation,
        ):
            return False
        holding.leader_epoch = epoch
        holding.generation = generation
        return True

    def _refused(self, holding: _Holding) -> OrderRefused:
        self.refusals += 1
        return OrderRefused(holding.leader_epoch, self.clock)

    def _state(self, shard: ShardId) -> GrantReport:
        holding = self._held[shard]
        return GrantReport(
            self.clock,
            self.checks,
            holding.ranges,
            holding.valid_until,
            self.leaving,
        )

    def _close(self, shard: ShardId) -> None:
        now = self.now
        for one in [one for one in self._open if one.shard == shard]:
            self._open.remove(one)
            ended = replace(one, end=min(one.end, now))
            if ended.end > ended.start:
                self.closed.append(ended)

    def _reopen(self, shard: ShardId) -> None:
        holding = self._held[shard]
        end = (holding.valid_until - self.clock_offset) / self.clock_rate
        self._open += [
            OwnershipInterval(self.name, shard, one.range, one.epoch, self.now, end)
            for one in holding.ranges
        ]
