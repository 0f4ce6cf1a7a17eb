"""What gateways in an experiment are told of hosts and configuration."""

from __future__ import annotations

from balsamway.configuration import (
    MemberConfiguration,
    RequestKind,
    Service,
    Urgency,
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
    """A directory and the configurations of one member, neither changing."""

    def __init__(self, servers: int, gateways: int) -> None:
        """Lists the hosts.

        Args:
            servers: How many servers there are.
            gateways: How many entry hosts there are.
        """
        zones = tuple(Zone(f"zone-{index}", "region", 3) for index in range(ZONES))
        self.service = Service("orders", False, KINDS, 3, 110, servers)
        self.configuration = MemberConfiguration(
            "member", 1, "change", zones, (self.service,), ()
        )
        self._entry_hosts = tuple(
            Host(f"gateway-{index:02}", HostRole.ENTRY, f"zone-{index % ZONES}", "")
            for index in range(gateways)
        )
        self._servers = tuple(
            Host(
                f"server-{index:02}",
                HostRole.SERVER,
                f"zone-{index % ZONES}",
                f"server-{index:02}",
                "member",
                "orders",
            )
            for index in range(servers)
        )

    def servers(self, member: str, service: str) -> tuple[Host, ...]:
        """Lists the servers."""
        return self._servers

    def server(self, name: str) -> Host | None:
        """Finds a server by name."""
        return next((host for host in self._servers if host.name == name), None)

    def entry_hosts(self) -> tuple[Host, ...]:
        """Lists the entry hosts."""
        return self._entry_hosts

    def live_witnesses(self) -> tuple[Witness, ...]:
        """Lists nothing: no shard is led here."""
        return ()

    def leader_of(self, shard: ShardId) -> str | None:
        """Knows no leader."""
        return None

    def mark_leaving(self, server: str) -> None:
        """Takes no notice."""

    def member(self, name: str) -> MemberConfiguration | None:
        """Gives the one configuration."""
        return self.configuration if name == self.configuration.member else None

    def members(self) -> tuple[MemberConfiguration, ...]:
        """Lists the one configuration."""
        return (self.configuration,)

    def member_of_token(self, token: str) -> MemberConfiguration | None:
        """Knows no token."""
        return None
