"""The limits on this gateway's connections to each target."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.gateway.subset import equal_share, is_in_subset

if TYPE_CHECKING:
    from balsamway.configuration import Service
    from balsamway.configuration.configurations import Configurations
    from balsamway.membership.host_directory import HostDirectory
    from balsamway.store import Host

MIN_SUBSET_AGE_SECONDS = 10.0
"""How long a gateway must have been in a target's subset before it connects.

This is longer than the lag of the host list. During that lag, the gateway that
it replaces in the subset may not know of it yet and may still be connected."""


class ConnectionBudget:
    """The limits on this gateway's connections to each target."""

    def __init__(
        self, gateway: str, directory: HostDirectory, configurations: Configurations
    ) -> None:
        """Initialize the limits of a gateway.

        Args:
            gateway: The gateway's host name.
            directory: The directory of known hosts.
            configurations: The configurations in force.
        """
        self._gateway = gateway
        self._directory = directory
        self._configurations = configurations
        self._in_subset_since: dict[str, float] = {}
        self._hosts: tuple[Host, ...] = ()
        self._zones: dict[str, frozenset[str]] = {}
        self._gateways: dict[str, frozenset[str]] = {}

    def service_for(self, host: Host) -> Service | None:
        """Return the service that a target runs.

        Args:
            host: The target.

        Returns:
            The service as configured now, or None if it is not configured.
        """
        configuration = self._configurations.workspace(host.workspace)
        return configuration.service(host.service) if configuration else None

    def limit(self, host: Host) -> int:
        """Return how many connections this gateway may have to a target.

        Args:
            host: The target.

        Returns:
            The maximum number of connections. It is 0 for a target of an
            unknown service and for a target that this gateway may not use.
        """
        service = self.service_for(host)
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
            self._in_subset_since.pop(host.name, None)
            return 0
        now = asyncio.get_running_loop().time()
        return int(
            now - self._in_subset_since.setdefault(host.name, now)
            >= MIN_SUBSET_AGE_SECONDS
        )

    def _gateways_of(self, workspace: str) -> frozenset[str]:
        # The connections of a target are divided among the entry hosts in
        # the zones of its workspace. Entry hosts in other zones get none.
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
