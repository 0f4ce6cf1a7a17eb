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
    """Entry hosts and targets of one workspace, connected by the fakes.

    Args:
        hosts: Number of entry hosts, spread over three availability zones.
        targets: Number of targets. Their clocks run at different rates.
        checks: Whether the targets enforce the leader epochs of orders.
        slices: Number of slices with which the only shard starts.
        seed: Seed of the entry hosts' random generators.
        timing: Timing of the ownership services; the defaults if None.
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
        clock_rates = (1.0, 1.005, 0.995)
        for number in range(targets):
            self.targets.add(
                FakeTarget(
                    f"s{number}",
                    f"z{number % 3}",
                    checks,
                    1000.0 * number,
                    clock_rates[number % 3],
                )
            )

    def store_of(self, host: str) -> Store:
        return self.store.client(host)

    async def __aenter__(self) -> Self:
        """Start all hosts and wait until every slice has an owner."""
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
        """Start the daemon of a host as a new incarnation."""
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
        """Stop the daemon of a host, without a last message from it."""
        self.isolate(name)
        await self.entry.pop(name).stop()

    def isolate(self, name: str) -> None:
        """Cut a running host from the store, the targets and its peers."""
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
        """The leader with the highest epoch among those with authority."""
        leaders = [
            leader
            for host in self.entry.values()
            if (leader := host.leadership.leader(SHARD)) is not None
            and leader.in_power
            and host.name not in self.network.down
        ]
        return max(leaders, key=lambda leader: leader.epoch, default=None)

    @property
    def leader_host(self) -> str:
        leader = self.leader
        assert leader is not None
        return leader.context.host_context.own_witness.host

    def owners(self, position: int) -> list[str]:
        """Return the targets that own a position now: never more than one."""
        return [
            target.name
            for target in self.targets.targets.values()
            if target.owns(SHARD, position)
        ]

    def unowned(self) -> list[int]:
        """Return the starts of the slices that no target owns now."""
        starts = [entry.range.start for entry in self.record.slices]
        return [start for start in starts if not self.owners(start)]

    def overlaps(self) -> list[object]:
        return list(overlaps(self.targets.intervals()))

    async def until(
        self, condition: Callable[[], bool], timeout_seconds: float = 10.0
    ) -> float:
        """Wait for a condition and return the seconds that it took."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while not condition():
            assert loop.time() - started_at < timeout_seconds, "condition not met"
            await asyncio.sleep(0.01)
        return loop.time() - started_at

    async def until_served(self, timeout_seconds: float = 10.0) -> float:
        """Wait until every slice is owned by a target."""
        return await self.until(
            lambda: SHARD.object_name in self.store.objects and not self.unowned(),
            timeout_seconds,
        )

    async def unavailable(
        self, seconds: float, positions: list[int] | None = None
    ) -> float:
        """Return the longest time in seconds that a position had no owner.

        Without `positions`, the starts of all slices are observed.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        unowned_since: dict[int, float] = {}
        longest_seconds = 0.0
        while loop.time() < end:
            if positions is None:
                positions = [entry.range.start for entry in self.record.slices]
            for position in positions:
                if self.owners(position):
                    unowned_since.pop(position, None)
                    continue
                began_at = unowned_since.setdefault(position, loop.time())
                longest_seconds = max(longest_seconds, loop.time() - began_at + 0.01)
            await asyncio.sleep(0.01)
        return longest_seconds
