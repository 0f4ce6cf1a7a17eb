"""Provides the hosts and the configuration of a simulated deployment."""

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
"""The number of availability zones."""

TIMEOUT_SECONDS = 0.5
"""The timeout of every kind of request."""

ORDER = RequestKind("order", False, TIMEOUT_SECONDS, Urgency.URGENT)
LOOKUP = RequestKind("lookup", True, TIMEOUT_SECONDS, Urgency.NORMAL)
ARCHIVE = RequestKind("archive", True, TIMEOUT_SECONDS, Urgency.PATIENT)
KINDS = (ORDER, LOOKUP, ARCHIVE)


class FleetEnvironment:
    """A host directory and one workspace's configuration; neither changes."""

    def __init__(self, targets: int, gateways: int) -> None:
        """Create the hosts and the configuration.

        Args:
            targets: The number of targets.
            gateways: The number of entry hosts.
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
        """Return the targets."""
        return self._targets

    def target(self, name: str) -> Host | None:
        """Return the target of a name, or None."""
        return next((host for host in self._targets if host.name == name), None)

    def entry_hosts(self) -> tuple[Host, ...]:
        """Return the entry hosts."""
        return self._entry_hosts

    def live_witnesses(self) -> tuple[Witness, ...]:
        """Return no witnesses, as no shard has a leader."""
        return ()

    def leader_of(self, shard: ShardId) -> str | None:
        """Return None, as no shard has a leader."""
        return None

    def mark_leaving(self, target: str) -> None:
        """Ignore that a target is draining."""

    def workspace(self, name: str) -> WorkspaceConfiguration | None:
        """Return the configuration if it has this name, else None."""
        return self.configuration if name == self.configuration.workspace else None

    def workspaces(self) -> tuple[WorkspaceConfiguration, ...]:
        """Return the only configuration."""
        return (self.configuration,)

    def workspace_of_token(self, token: str) -> WorkspaceConfiguration | None:
        """Return None, as no tokens are configured."""
        return None
