"""How many connections this gateway may have to each target."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.gateway.subset import equal_share, is_in_subset

if TYPE_CHECKING:
    from balsamway.configuration import Service
    from balsamway.configuration.configurations import Configurations
    from balsamway.membership.host_directory import HostDirectory
    from balsamway.store import Host

SETTLE_SECONDS = 10.0
"""How long a gateway must have been in a target's subset before it connects.

It outlasts the lag of the host list, in which the gateway that it replaces in
the subset may not know of it yet."""


class ConnectionBudget:
    """How many connections this gateway may have to each target."""

    def __init__(
        self, gateway: str, directory: HostDirectory, configurations: Configurations
    ) -> None:
        """Makes the budget of a gateway.

        Args:
            gateway: The gateway's host name.
            directory: Which hosts there are.
            configurations: The configurations in force.
        """
        self._gateway = gateway
        self._directory = directory
        self._configurations = configurations
        self._chosen_at: dict[str, float] = {}
        self._hosts: tuple[Host, ...] = ()
        self._zones: dict[str, frozenset[str]] = {}
        self._gateways: dict[str, frozenset[str]] = {}

    def service_of(self, host: Host) -> Service | None:
        """Finds the service that a target runs.

        Args:
            host: The target.

        Returns:
            The service as configured now; None where there is none.
        """
        configuration = self._configurations.workspace(host.workspace)
        return configuration.service(host.service) if configuration else None

    def limit(self, host: Host) -> int:
        """Tells how many connections this gateway may have to a target.

        Args:
            host: The target.

        Returns:
            The most connections; 0 for a target of no known service.
        """
        service = self.service_of(host)
        if service is None:
            return 0
        gateways = self._gateways_of(host.workspace)
        if self._gateway not in gateways:
            return 0
        return equal_share(service) or self._subset_share(host, service, gateways)

    def _subset_share(
        self, host: Host, service: Service, gateways: frozenset[str]
    ) -> int:
        if not is_in_subset(service, host.name, self._gateway, gateways):
            self._chosen_at.pop(host.name, None)
            return 0
        now = asyncio.get_running_loop().time()
        return int(now - self._chosen_at.setdefault(host.name, now) >= SETTLE_SECONDS)

    def _gateways_of(self, workspace: str) -> frozenset[str]:
        # The connections of a target are shared out among the entry hosts in
        # its workspace's zones; one elsewhere has no share.
        hosts = self._directory.entry_hosts()
        zones = self._zones_of(workspace)
        if hosts is not self._hosts:
            self._hosts = hosts
            self._gateways.clear()
        if zones != self._zones.get(workspace) or workspace not in self._gateways:
            self._zones[workspace] = zones
            names = (host.name for host in hosts if host.zone in zones)
            self._gateways[workspace] = frozenset(names)
        return self._gateways[workspace]

    def _zones_of(self, workspace: str) -> frozenset[str]:
        configuration = self._configurations.workspace(workspace)
        return configuration.zone_names if configuration else frozenset()
