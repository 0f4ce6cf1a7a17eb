from __future__ import annotations

from balsamway.slices import ShardId, Witness
from balsamway.store import Host, HostRole, HostState
from tests.fakes.network import FakeNetwork
from tests.fakes.targets import FakeTargets


class FakeHosts:
    """The entry hosts and targets, known to every host without delay."""

    def __init__(self, network: FakeNetwork, targets: FakeTargets) -> None:
        self.network = network
        self.targets = targets
        self.entry: dict[str, Host] = {}
        self.incarnations: dict[str, int] = {}
        self.leaving: set[str] = set()
        self.leaders: dict[ShardId, tuple[int, str]] = {}

    def add(self, name: str, zone: str, incarnation: int) -> Host:
        host = Host(name, HostRole.ENTRY, zone, f"{name}:1")
        self.entry[name] = host
        self.incarnations[name] = incarnation
        return host

    def announce(self, shard: ShardId, epoch: int, host: str) -> None:
        self.leaders[shard] = max(self.leaders.get(shard, (0, "")), (epoch, host))

    def directory(self, host: str) -> FakeDirectory:
        return FakeDirectory(self, host)


class FakeDirectory:
    """The directory of one host, to which only reachable hosts are live."""

    def __init__(self, hosts: FakeHosts, host: str) -> None:
        self._hosts = hosts
        self._host = host

    def targets(self, workspace: str, service: str) -> tuple[Host, ...]:
        matching = []
        for target in self._hosts.targets.targets.values():
            host = target.host
            if (host.workspace, host.service) != (workspace, service):
                continue
            is_draining = target.name in self._hosts.leaving
            state = HostState.LEAVING if is_draining else HostState.LIVE
            matching.append(
                Host(
                    host.name,
                    host.role,
                    host.zone,
                    host.address,
                    workspace,
                    service,
                    state,
                )
            )
        return tuple(sorted(matching, key=lambda host: host.name))

    def target(self, name: str) -> Host | None:
        target = self._hosts.targets.targets.get(name)
        return target.host if target else None

    def entry_hosts(self) -> tuple[Host, ...]:
        return tuple(self._hosts.entry.values())

    def live_witnesses(self) -> tuple[Witness, ...]:
        return tuple(
            Witness(name, incarnation)
            for name, incarnation in self._hosts.incarnations.items()
            if self._hosts.network.connected(self._host, name)
        )

    def leader_of(self, shard: ShardId) -> str | None:
        epoch_and_host = self._hosts.leaders.get(shard)
        return epoch_and_host[1] if epoch_and_host else None

    def mark_leaving(self, target: str) -> None:
        self._hosts.leaving.add(target)
