"""Keeps a connection open to each target, so that requests find one."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import mode

if TYPE_CHECKING:
    from balsamway.configuration.configurations import Configurations
    from balsamway.gateway.connection_budget import ConnectionBudget
    from balsamway.membership.host_directory import HostDirectory
    from balsamway.store import Host
    from balsamway.targets.http_transport import HttpTransport

CHECK_SECONDS = 1.0
"""How often targets that joined are looked for."""
WARM_SECONDS = 20.0
"""How often a connection is used, well within the time it is kept open."""
RETRY_SECONDS = 5.0
"""How long a target that did not answer is left alone."""
TIMEOUT_SECONDS = 1.0


class ConnectionWarmer(mode.Service):
    """Keeps a connection open to each target, so that requests find one.

    It asks for the target's health and does not use the answer.
    """

    def __init__(
        self,
        directory: HostDirectory,
        configurations: Configurations,
        transport: HttpTransport,
        budget: ConnectionBudget,
    ) -> None:
        """Makes a warmer that has opened nothing.

        Args:
            directory: Which targets there are.
            configurations: The configurations in force.
            transport: Holds the connections.
            budget: Tells which targets this gateway may connect to.
        """
        super().__init__()
        self._directory = directory
        self._configurations = configurations
        self._transport = transport
        self._budget = budget
        self._warm_at: dict[str, float] = {}

    @mode.Service.task
    async def _keep_warm(self) -> None:
        while not self.should_stop:
            await asyncio.gather(*(self._warm(host) for host in self._due()))
            await self.sleep(CHECK_SECONDS)

    def dump(self) -> dict[str, object]:
        """Gives how many targets are kept warm, for the state dump."""
        return {"targets": len(self._warm_at)}

    def _due(self) -> list[Host]:
        now = asyncio.get_running_loop().time()
        hosts = {host.address: host for host in self._targets()}
        self._warm_at = {
            address: at for address, at in self._warm_at.items() if address in hosts
        }
        return [
            host
            for address, host in hosts.items()
            if now >= self._warm_at.get(address, 0.0)
        ]

    def _targets(self) -> list[Host]:
        return [
            host
            for workspace in self._configurations.workspaces()
            for service in workspace.services
            for host in self._directory.targets(workspace.workspace, service.name)
            if self._budget.limit(host)
        ]

    async def _warm(self, host: Host) -> None:
        health = await self._transport.health(host, TIMEOUT_SECONDS)
        pause = RETRY_SECONDS if health is None else WARM_SECONDS
        self._warm_at[host.address] = asyncio.get_running_loop().time() + pause
