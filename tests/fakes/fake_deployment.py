from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Self

from balsamway.configuration import Service, WorkspaceConfiguration, Zone
from balsamway.ownership.shard_leader import ShardLeader
from balsamway.settings import Timing
from balsamway.slices import ShardId, ShardRecord
from balsamway.slices.record_codec import decode_record
from balsamway.store import Store
from tests.fakes.configurations import FakeConfigurations
from tests.fakes.directory import FakeHosts
from tests.fakes.entry_host import EntryHost
from tests.fakes.faults import Faults
from tests.fakes.network import FakeNetwork
from tests.fakes.ownership_interval import overlaps
from tests.fakes.store import FakeStore
from tests.fakes.target import FakeTarget
from tests.fakes.targets import FakeTargets

SHARD = ShardId("m", "s", 0)


class FakeDeployment:
    """Entry hosts and targets of one workspace over the fakes.

    Args:
        hosts: How many entry hosts, over three availability zones.
        targets: How many targets; a target's clock runs at its own rate.
        checks: Whether the targets check who gives them an order.
        slices: How many slices the only shard starts with.
    """

    def __init__(
        self,
        hosts: int = 5,
        targets: int = 4,
        checks: bool = True,
        slices: int = 8,
        seed: int = 1,
        timing: Timing | None = None,
    ) -> None:
        self.seed = seed
        self.timing = timing or Timing()
        self.faults = Faults()
        self.store = FakeStore(self.faults)
        self.network = FakeNetwork(self.faults)
        self.targets = FakeTargets(self.faults)
        self.hosts = FakeHosts(self.network, self.targets)
        service = Service("s", True, (), 3, 50, targets, slices=slices)
        zones = tuple(Zone(f"z{number}", "r", 3) for number in range(3))
        workspace = WorkspaceConfiguration("m", 1, "", zones, (service,), ())
        self.configurations = FakeConfigurations(workspace)
        self.entry: dict[str, EntryHost] = {}
        self._incarnation = 100
        self._names = [f"h{number}" for number in range(hosts)]
        rates = (1.0, 1.005, 0.995)
        for number in range(targets):
            self.targets.add(
                FakeTarget(
                    f"s{number}",
                    f"z{number % 3}",
                    checks,
                    1000.0 * number,
                    rates[number % 3],
                )
            )

    def store_of(self, host: str) -> Store:
        return self.store.client(host)

    async def __aenter__(self) -> Self:
        """Starts everything and waits until every slice has its owner."""
        await self.start()
        await self.until_served()
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.stop()

    async def start(self) -> None:
        for name in self._names:
            await self.start_host(name)

    async def stop(self) -> None:
        for host in list(self.entry.values()):
            await host.stop()
        self.entry.clear()

    async def start_host(self, name: str) -> EntryHost:
        """Starts a host's daemon, as another incarnation each time."""
        self._incarnation += 1
        zone = f"z{int(name[1:]) % 3}"
        self.hosts.add(name, zone, self._incarnation)
        self.network.down.discard(name)
        self.targets.down_hosts.discard(name)
        self.store.cut_hosts.discard(name)
        host = EntryHost(self, name, self._incarnation)
        self.entry[name] = host
        await host.start()
        return host

    async def lose_host(self, name: str) -> None:
        """The daemon is gone; nothing that it says is heard any more."""
        self.isolate(name)
        await self.entry.pop(name).stop()

    def isolate(self, name: str) -> None:
        """The host runs on, but reaches nothing and is reached by nothing."""
        self.network.down.add(name)
        self.targets.down_hosts.add(name)
        self.store.cut_hosts.add(name)

    def rejoin(self, name: str) -> None:
        self.network.down.discard(name)
        self.targets.down_hosts.discard(name)
        self.store.cut_hosts.discard(name)

    @property
    def record(self) -> ShardRecord:
        return decode_record(self.store.objects[SHARD.object_name].body)

    @property
    def leader(self) -> ShardLeader | None:
        """The leader with the highest epoch that is in power."""
        found = [
            leader
            for host in self.entry.values()
            if (leader := host.leadership.leader(SHARD)) is not None
            and leader.in_power
            and host.name not in self.network.down
        ]
        return max(found, key=lambda one: one.epoch, default=None)

    @property
    def leader_host(self) -> str:
        leader = self.leader
        assert leader is not None
        return leader.context.host_context.own_witness.host

    def owners(self, position: int) -> list[str]:
        """The targets that hold a position now: never more than one."""
        return [
            target.name
            for target in self.targets.targets.values()
            if target.owns(SHARD, position)
        ]

    def unowned(self) -> list[int]:
        """The starts of the slices that no target holds now."""
        starts = [entry.range.start for entry in self.record.slices]
        return [start for start in starts if not self.owners(start)]

    def overlaps(self) -> list[object]:
        return list(overlaps(self.targets.intervals()))

    async def until(
        self, condition: Callable[[], bool], timeout_seconds: float = 10.0
    ) -> float:
        """Waits for a condition; gives the time that it took."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        while not condition():
            assert loop.time() - started < timeout_seconds, "condition not met"
            await asyncio.sleep(0.01)
        return loop.time() - started

    async def until_served(self, timeout_seconds: float = 10.0) -> float:
        """Waits until every slice is held by a target."""
        return await self.until(
            lambda: SHARD.object_name in self.store.objects and not self.unowned(),
            timeout_seconds,
        )

    async def unavailable(
        self, seconds: float, positions: list[int] | None = None
    ) -> float:
        """Measures the longest time that any of the positions has no owner."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        since: dict[int, float] = {}
        longest = 0.0
        while loop.time() < end:
            if positions is None:
                positions = [entry.range.start for entry in self.record.slices]
            for position in positions:
                if self.owners(position):
                    since.pop(position, None)
                    continue
                began = since.setdefault(position, loop.time())
                longest = max(longest, loop.time() - began + 0.01)
            await asyncio.sleep(0.01)
        return longest
