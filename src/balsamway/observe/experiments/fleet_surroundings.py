"""What gateways in an experiment are told of hosts and configuration."""

from __future__ import annotations

from balsamway.configuration import (
    RequestKind,
    Service,
    Urgency,
    WorkspaceConfiguration,
    Zone,
)
from balsamway.slices import ShardId, Witness
from balsamway.store import Host, HostRole

ZONES = 4
TIMEOUT_SECONDS = 0.5

ORDER = RequestKind("order", False, TIMEOUT_SECONDS, Urgency.URGENT)
LOOKUP = RequestKind("lookup", True, TIMEOUT_SECONDS, Urgency.NORMAL)
ARCHIVE = RequestKind("archive", True, TIMEOUT_SECONDS, Urgency.PATIENT)
KINDS = (ORDER, LOOKUP, ARCHIVE)


class FleetSurroundings:
    """A directory and one workspace's configuration, neither changing."""

    def __init__(self, targets: int, gateways: int) -> None:
        """Lists the hosts.

        Args:
            targets: How many targets there are.
            gateways: How many entry hosts there are.
        """
        zones = tuple(Zone(f"zone-{index}", "region", 3) for index in range(ZONES))
        self.service = Service("orders", False, KINDS, 3, 110, targets)
        self.configuration = WorkspaceConfiguration(
            "workspace", 1, "change", zones, (self.service,), ()
        )
        self._entry_hosts = tuple(
            Host(f"gateway-{index:02}", HostRole.ENTRY, f"zone-{index % ZONES}", "")
            for index in range(gateways)
        )
        self._targets = tuple(
            Host(
                f"server-{index:02}",
                HostRole.TARGET,
                f"zone-{index % ZONES}",
                f"server-{index:02}",
                "workspace",
                "orders",
            )
            for index in range(targets)
        )

    def targets(self, workspace: str, service: str) -> tuple[Host, ...]:
        """Lists the targets."""
        return self._targets

    def target(self, name: str) -> Host | None:
        """Finds a target by name."""
        return next((host for host in self._targets if host.name == name), None)

    def entry_hosts(self) -> tuple[Host, ...]:
        """Lists the entry hosts."""
        return self._entry_hosts

    def live_witnesses(self) -> tuple[Witness, ...]:
        """Lists nothing: no shard is led here."""
        return ()

    def leader_of(self, shard: ShardId) -> str | None:
        """Knows no leader."""
        return None

    def mark_leaving(self, target: str) -> None:
        """Takes no notice."""

    def workspace(self, name: str) -> WorkspaceConfiguration | None:
        """Gives the one configuration."""
        return self.configuration if name == self.configuration.workspace else None

    def workspaces(self) -> tuple[WorkspaceConfiguration, ...]:
        """Lists the one configuration."""
        return (self.configuration,)

    def workspace_of_token(self, token: str) -> WorkspaceConfiguration | None:
        """Knows no token."""
        return None
