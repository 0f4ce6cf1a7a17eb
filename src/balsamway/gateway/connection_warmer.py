"""Keep a connection open to each target, so that requests find one."""

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

CHECK_INTERVAL_SECONDS = 1.0
"""How often the warmer looks for targets that have joined."""
WARM_INTERVAL_SECONDS = 20.0
"""How often a connection is used, well within its keep-alive time."""
RETRY_INTERVAL_SECONDS = 5.0
"""How long the warmer waits after a target did not respond."""
TIMEOUT_SECONDS = 1.0
"""The maximum time that the warmer waits for a target's health."""


class ConnectionWarmer(mode.Service):
    """Keep a connection open to each target, so that requests find one.

    It requests the target's health and does not use the response.
    """

    def __init__(
        self,
        directory: HostDirectory,
        configurations: Configurations,
        transport: HttpTransport,
        budget: ConnectionBudget,
    ) -> None:
        """Initialize a warmer that has opened no connection.

        Args:
            directory: The directory of known hosts.
            configurations: The configurations in force.
            transport: The transport that owns the connections.
            budget: The limits that decide which targets this gateway may
                connect to.
        """
        super().__init__()
        self._directory = directory
        self._configurations = configurations
        self._transport = transport
        self._budget = budget
        self._next_warm_at: dict[str, float] = {}

    @mode.Service.task
    async def _keep_warm(self) -> None:
        while not self.should_stop:
            await asyncio.gather(*(self._warm_up(host) for host in self._due_targets()))
            await self.sleep(CHECK_INTERVAL_SECONDS)

    def dump(self) -> dict[str, object]:
        """Return the number of warm targets for the state dump."""
        return {"targets": len(self._next_warm_at)}

    def _due_targets(self) -> list[Host]:
        now = asyncio.get_running_loop().time()
        hosts = {host.address: host for host in self._targets()}
        self._next_warm_at = {
            address: at
            for address, at in self._next_warm_at.items()
            if address in hosts
        }
        return [
            host
            for address, host in hosts.items()
            if now >= self._next_warm_at.get(address, 0.0)
        ]

    def _targets(self) -> list[Host]:
        return [
            host
            for workspace in self._configurations.workspaces()
            for service in workspace.services
            for host in self._directory.targets(workspace.workspace, service.name)
            if self._budget.limit(host)
        ]

    async def _warm_up(self, host: Host) -> None:
        health = await self._transport.health(host, TIMEOUT_SECONDS)
        pause = RETRY_INTERVAL_SECONDS if health is None else WARM_INTERVAL_SECONDS
        self._next_warm_at[host.address] = asyncio.get_running_loop().time() + pause
