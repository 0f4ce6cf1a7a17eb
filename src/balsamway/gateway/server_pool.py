"""What this gateway has seen of the servers that it may use."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from balsamway.gateway.server_state import ServerState
from balsamway.gateway.subset import connection_share
from balsamway.platform import HostState

if TYPE_CHECKING:
    from balsamway.configuration import Service
    from balsamway.configuration.configurations import Configurations
    from balsamway.membership.directory import Directory
    from balsamway.platform import Host


class ServerPool:
    """What this gateway has seen of the servers that it may use."""

    def __init__(
        self, host: str, directory: Directory, configurations: Configurations
    ) -> None:
        """Makes a pool that knows no server yet.

        Args:
            host: This gateway's host name.
            directory: Which hosts there are.
            configurations: The configurations in force.
        """
        self._host = host
        self._directory = directory
        self._configurations = configurations
        self._states: dict[str, ServerState] = {}
        self._listed: dict[tuple[str, str], tuple[Host, ...]] = {}

    def state(self, host: Host, service: Service) -> ServerState:
        """Gives what was seen of a server.

        Args:
            host: The server.
            service: The service that it runs.

        Returns:
            The server's state, kept while the server is listed.
        """
        state = self._states.get(host.name)
        if state is None or state.host.address != host.address:
            state = ServerState(host, self._share(host, service), -math.inf)
            self._states[host.name] = state
        return state

    def find(self, name: str) -> Host | None:
        """Finds a server by name.

        Args:
            name: The server's name.

        Returns:
            The server, or None where it is not listed.
        """
        return self._directory.server(name)

    def candidates(self, member: str, service: Service) -> list[ServerState]:
        """Lists the servers that a request without an owner may go to.

        Args:
            member: The member's name.
            service: The service.

        Returns:
            The live servers that this gateway may connect to; leaving ones
            get no new work.
        """
        hosts = self._directory.servers(member, service.name)
        if hosts is not self._listed.get((member, service.name)):
            self._refresh(member, service, hosts)
        states = [self._states[host.name] for host in hosts]
        states = [state for state in states if state.limit.value >= 1]
        return [state for state in states if state.host.state is HostState.LIVE]

    def connection_limit(self, host: Host) -> int:
        """Tells how many connections this gateway may have to a server.

        Args:
            host: The server.

        Returns:
            The most connections; 0 for a server of no known service.
        """
        configuration = self._configurations.member(host.member)
        service = configuration.service(host.service) if configuration else None
        if service is None:
            return 0
        return self._share(host, service)

    def states(self) -> tuple[ServerState, ...]:
        """Lists what was seen of every server, in the order of their names."""
        return tuple(self._states[name] for name in sorted(self._states))

    def dump(self) -> list[dict[str, object]]:
        """Gives the state of each server for the state dump."""
        return [state.dump() for state in self.states()]

    def _share(self, host: Host, service: Service) -> int:
        member = self._configurations.member(host.member)
        zones = member.zone_names if member else frozenset()
        gateways = [
            entry.name for entry in self._directory.entry_hosts() if entry.zone in zones
        ]
        return connection_share(service, host.name, self._host, gateways)

    def _refresh(self, member: str, service: Service, hosts: tuple[Host, ...]) -> None:
        key = (member, service.name)
        known = self._listed.get(key)
        joined_at = -math.inf
        if known is not None:
            joined_at = asyncio.get_running_loop().time()
        for host in hosts:
            self._update(host, service, joined_at)
        names = {host.name for host in hosts}
        for host in known or ():
            if host.name not in names:
                self._states.pop(host.name, None)
        self._listed[key] = hosts

    def _update(self, host: Host, service: Service, joined_at: float) -> None:
        state = self._states.get(host.name)
        if state is None or state.host.address != host.address:
            state = ServerState(host, self._share(host, service), joined_at)
            self._states[host.name] = state
            return
        state.host = host
        state.limit.set_ceiling(self._share(host, service))
