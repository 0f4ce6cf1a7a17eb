"""The interface to what is known of hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamway.slices import ShardId, Witness
    from balsamway.store import Host


class Directory(Protocol):
    """Which hosts there are, by the host list and by what peers said."""

    def servers(self, member: str, service: str) -> tuple[Host, ...]:
        """Lists the servers of a service, leaving ones included.

        Args:
            member: The member's name.
            service: The service's name.

        Returns:
            The servers in the order of their names.
        """
        ...

    def server(self, name: str) -> Host | None:
        """Finds a server by name, also one that left the list lately."""
        ...

    def entry_hosts(self) -> tuple[Host, ...]:
        """Lists the entry hosts, this one included."""
        ...

    def live_witnesses(self) -> tuple[Witness, ...]:
        """Lists the daemons heard from lately, this one included."""
        ...

    def leader_of(self, shard: ShardId) -> str | None:
        """Names the entry host that claims the highest epoch of a shard."""
        ...

    def mark_leaving(self, server: str) -> None:
        """Records that a server said itself that it is leaving."""
        ...
