"""Keeps a connection open to each server, so that requests find one."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import mode

if TYPE_CHECKING:
    from balsamway.configuration.configurations import Configurations
    from balsamway.membership.directory import Directory
    from balsamway.platform import Host
    from balsamway.servers.http_transport import HttpTransport

CHECK_SECONDS = 1.0
"""How often servers that joined are looked for."""
WARM_SECONDS = 20.0
"""How often a connection is used, well within the time it is kept open."""
TIMEOUT_SECONDS = 1.0


class ConnectionWarmer(mode.Service):
    """Keeps a connection open to each server, so that requests find one.

    It asks for the server's health and does not use the answer.
    """

    def __init__(
        self,
        directory: Directory,
        configurations: Configurations,
        transport: HttpTransport,
    ) -> None:
        """Makes a warmer that has opened nothing.

        Args:
            directory: Which servers there are.
            configurations: The configurations in force.
            transport: Holds the connections.
        """
        super().__init__()
        self._directory = directory
        self._configurations = configurations
        self._transport = transport
        self._warmed_at: dict[str, float] = {}

    @mode.Service.task
    async def _keep_warm(self) -> None:
        while not self.should_stop:
            await asyncio.gather(*(self._warm(host) for host in self._due()))
            await self.sleep(CHECK_SECONDS)

    def dump(self) -> dict[str, object]:
        """Gives how many servers are kept warm, for the state dump."""
        return {"servers": len(self._warmed_at)}

    def _due(self) -> list[Host]:
        now = asyncio.get_running_loop().time()
        hosts = {host.address: host for host in self._servers()}
        self._warmed_at = {
            address: at for address, at in self._warmed_at.items() if address in hosts
        }
        return [
            host
            for address, host in hosts.items()
            if now - self._warmed_at.get(address, -WARM_SECONDS) >= WARM_SECONDS
        ]

    def _servers(self) -> list[Host]:
        return [
            host
            for member in self._configurations.members()
            for service in member.services
            for host in self._directory.servers(member.member, service.name)
        ]

    async def _warm(self, host: Host) -> None:
        if await self._transport.health(host, TIMEOUT_SECONDS) is not None:
            self._warmed_at[host.address] = asyncio.get_running_loop().time()
