from __future__ import annotations

from dataclasses import dataclass

from balsamway.store import Host, HostRole


@dataclass
class GatewayDirectory:
    """A directory with the hosts that the test names."""

    hosts: tuple[Host, ...] = ()
    gateways: tuple[str, ...] = ("g1",)

    def targets(self, workspace, service):
        return self.hosts

    def target(self, name):
        return next((host for host in self.hosts if host.name == name), None)

    def entry_hosts(self):
        return tuple(
            Host(name, HostRole.ENTRY, "a", "127.0.0.1:1") for name in self.gateways
        )

    def live_witnesses(self):
        return ()

    def leader_of(self, shard):
        return None

    def mark_leaving(self, target):
        pass
