from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from balsamway.configuration import (
    RequestKind,
    Service,
    WorkspaceConfiguration,
    Zone,
)
from balsamway.configuration.codec import encode_configuration, encode_workspaces
from balsamway.configuration.constants import WORKSPACES_OBJECT
from balsamway.slices import ShardId
from balsamway.store import Host, HostRole, HostState
from tests.fakes.network import FakeNetwork
from tests.fakes.store import FakeStore
from tests.fakes.targets import FakeTargets
from tests.matrix.callers import Callers
from tests.matrix.entry_host import EntryHost
from tests.matrix.matrix_faults import MatrixFaults
from tests.matrix.matrix_hosts import MatrixHosts
from tests.matrix.matrix_target import MatrixTarget
from tests.matrix.observer import Observer
from tests.matrix.process import start_outside

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.fakes.faults import Injection
    from tests.matrix.process import Process

ZONES = ("za", "zb", "zc")
ENTRY_HOSTS = {"e1": "za", "e2": "zb", "e3": "zc", "e4": "za", "e5": "zb"}
TARGETS = {"s1": "za", "s2": "zb", "s3": "zc", "s4": "za"}
NON_ENFORCING_TARGETS = ("s3", "s4")
WORKSPACE = "m"
SHARD = ShardId(WORKSPACE, "s")
SLICES = 8
READY_TIMEOUT_SECONDS = 20.0
POLL_SECONDS = 0.05
STOP_TIMEOUT_SECONDS = 15.0


def configuration(version: int) -> WorkspaceConfiguration:
    """Return the workspace's configuration with the given version."""
    kinds = (
        RequestKind("read", idempotent=True, timeout_seconds=2.0),
        RequestKind("order", idempotent=False, timeout_seconds=2.0),
    )
    service = Service("s", True, kinds, 3, 50, len(TARGETS), slices=SLICES)
    zones = tuple(Zone(name, "r", 2) for name in ZONES)
    return WorkspaceConfiguration(
        WORKSPACE, version, f"change-{version}", zones, (service,), ()
    )


class MatrixDeployment:
    """A deployment on one event loop: real modules connected to fakes."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.faults = MatrixFaults()
        self.store = FakeStore(self.faults)
        self.network = FakeNetwork(self.faults)
        self.targets = FakeTargets(self.faults)
        self.hosts = MatrixHosts(self.store)
        self.entry_hosts: dict[str, EntryHost] = {}
        self.lost_entry_hosts: list[EntryHost] = []
        self.entry_list = tuple(
            Host(name, HostRole.ENTRY, zone, f"{name}:1")
            for name, zone in ENTRY_HOSTS.items()
        )
        self.incarnations = 0
        self.drop_injections: list[Injection] = []
        self.stop_tasks: list[asyncio.Task[None]] = []
        self.lost_leader = ""
        self.paused_leader = ""
        self.operator: Process | None = None
        self.callers = Callers(self)
        self.observer = Observer(self)

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def target(self, name: str) -> MatrixTarget:
        return self.targets.targets[name]

    async def start(self) -> None:
        for host in self.entry_list:
            self.hosts.put(host)
        for name, zone in TARGETS.items():
            self.add_target(name, zone)
        await self.store.apply(WORKSPACES_OBJECT, encode_workspaces([WORKSPACE]), None)
        first = configuration(1)
        await self.store.apply(first.object_name, encode_configuration(first), None)
        for name in ENTRY_HOSTS:
            await self.start_entry_host(name)
        self.observer.start()

    def add_target(self, name: str, zone: str) -> MatrixTarget:
        target = MatrixTarget(
            name,
            zone=zone,
            checks=name not in NON_ENFORCING_TARGETS,
            workspace=WORKSPACE,
            service="s",
        )
        target.clock_offset = 1000.0 * (1 + len(self.targets.targets))
        self.targets.add(target)
        self.hosts.put(target.host)
        return target

    def leave(self, name: str) -> None:
        target = self.target(name)
        target.leaving = True
        host = target.host
        self.hosts.put(
            Host(
                host.name,
                host.role,
                host.zone,
                host.address,
                host.workspace,
                host.service,
                HostState.LEAVING,
            )
        )
        self.observer.record_stop_request(name)
        self.stop_tasks.append(start_outside(self._stop_when_empty(target)))

    async def _stop_when_empty(self, target: MatrixTarget) -> None:
        if await self.wait(lambda: target.has_drained, STOP_TIMEOUT_SECONDS):
            target.lose()
        else:
            await target.stop_in_a_run()
        self.hosts.remove(target.name)

    async def start_entry_host(self, name: str) -> None:
        self.incarnations += 1
        host = next(host for host in self.entry_list if host.name == name)
        self.network.down.discard(name)
        self.targets.down_hosts.discard(name)
        self.entry_hosts[name] = EntryHost(self, host, self.incarnations)
        await self.entry_hosts[name].start()

    def lose_entry_host(self, name: str) -> None:
        entry = self.entry_hosts.pop(name, None)
        if entry is None:
            return
        entry.process.lose()
        self.lost_entry_hosts.append(entry)
        self.network.down.add(name)
        self.targets.down_hosts.add(name)

    def leader(self) -> str:
        """Return the host that leads the shard, or an empty string."""
        led = [
            (entry.leadership.led[0].epoch, name)
            for name, entry in self.entry_hosts.items()
            if entry.leadership.led and not entry.process.paused
        ]
        return max(led)[1] if led else ""

    def owner_of(self, position: int) -> str:
        """Return the target that owns a position, or an empty string."""
        for target in self.targets.targets.values():
            if target.owns(SHARD, position):
                return target.name
        return ""

    def crashes(self) -> list[str]:
        return [
            crash for entry in self.entry_hosts.values() for crash in entry.crashes()
        ]

    async def wait(self, condition: Callable[[], bool], seconds: float) -> bool:
        until = self.now + seconds
        while not condition():
            if self.now >= until:
                return False
            await asyncio.sleep(POLL_SECONDS)
        return True

    async def wait_ready(self) -> bool:
        """Wait until every key is served and placement has settled."""
        if not await self.wait(self.callers.all_served, READY_TIMEOUT_SECONDS):
            return False
        await asyncio.sleep(3.0)
        return self.callers.all_served()
