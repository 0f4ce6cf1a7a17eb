"""Runs one workspace's entry hosts, targets and callers in this process."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from balsamway.configuration import Urgency
from balsamway.daemon.daemon import Daemon
from balsamway.demo._tokens import caller_token, token_hash
from balsamway.settings import Listeners, Settings
from balsamway.slices import ShardId
from balsamway.standins.caller import CallerSettings, CallerStandin
from balsamway.standins.caller.call_kind import CallKind
from balsamway.standins.journal import Journal
from balsamway.standins.target import TargetSettings, TargetStandin
from balsamway.standins.target.run_times import RunTimes

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamway.configuration import Service, WorkspaceConfiguration, Zone
    from balsamway.standins.platform import PlatformStandin

LOOPBACK_ADDRESS = "127.0.0.1:0"
"""Listens on the loopback interface, on a port that the system chooses."""

MAX_ENTRY_HOSTS_PER_ZONE = 2
"""The most entry hosts that are started in each availability zone, where the
configuration has more."""

PATIENT_RUN_SECONDS = 0.02
"""The median service time of requests of patient kinds."""

RUN_SECONDS = 0.004
"""The median service time of requests of all other kinds."""


class EmbeddedWorkspace:
    """Starts and stops the hosts and callers of one workspace."""

    def __init__(
        self,
        configuration: WorkspaceConfiguration,
        platform: PlatformStandin,
        seed: int,
    ) -> None:
        """Create the workspace's hosts without starting them.

        Args:
            configuration: The generated configuration of the workspace.
            platform: The platform stand-in of all hosts.
            seed: The seed of all random choices.
        """
        self._platform = platform
        self._seed = seed
        self.configuration = dataclasses.replace(
            configuration, token_hashes=(token_hash(configuration.workspace),)
        )
        self.daemons = [
            self._create_daemon(zone, number)
            for zone in configuration.zones
            for number in range(min(zone.entry_hosts, MAX_ENTRY_HOSTS_PER_ZONE))
        ]
        self.targets = [
            self._create_target(service, number)
            for service in configuration.services
            for number in range(service.instances)
        ]
        self.caller: CallerStandin | None = None

    @property
    def name(self) -> str:
        """The workspace's name."""
        return self.configuration.workspace

    @property
    def target_counts(self) -> dict[str, int]:
        """The number of targets of each `workspace/service`."""
        return {
            f"{self.name}/{service.name}": service.instances
            for service in self.configuration.services
        }

    async def start(self) -> None:
        """Start the targets and the daemons, and list them as hosts."""
        for target in self.targets:
            await target.start()
            self._platform.put_host(target.host)
        for daemon in self.daemons:
            await daemon.start()
            self._platform.put_host(daemon.host)

    async def stop(self) -> None:
        """Stop the callers, then the daemons, then the targets."""
        if self.caller is not None:
            await self.caller.stop()
        await asyncio.gather(*(daemon.stop() for daemon in self.daemons))
        await asyncio.gather(*(target.stop() for target in self.targets))

    def has_adopted(self, version: int) -> bool:
        """Return whether every entry host has adopted a version.

        Args:
            version: The version of the workspace's configuration.

        Returns:
            True if this or a later version is in force at every entry host.
        """
        return all(
            daemon.configurations.versions().get(self.name, 0) >= version
            for daemon in self.daemons
        )

    def service_targets(self, service: str) -> list[TargetStandin]:
        """Return the targets of a service."""
        return [target for target in self.targets if target.host.service == service]

    def exclusive_services(self) -> list[Service]:
        """Return the services with exclusive keys."""
        return [
            service for service in self.configuration.services if service.exclusive_keys
        ]

    def has_all_grants(self) -> bool:
        """Return whether the services with exclusive keys can be used.

        Returns:
            True if every shard of these services has a leader and each of
            their targets has received a grant.
        """
        return all(
            any(daemon.leadership.leader(shard) for daemon in self.daemons)
            for shard in self._shards()
        ) and all(
            target.journal.grants
            for service in self.exclusive_services()
            for target in self.service_targets(service.name)
        )

    async def start_callers(self, requests_per_second: float) -> None:
        """Start the workspace's callers.

        Args:
            requests_per_second: How many requests they send per second.
        """
        self.caller = CallerStandin(
            CallerSettings(
                self.name,
                caller_token(self.name),
                tuple(daemon.addresses["callers"] for daemon in self.daemons),
                tuple(self._call_kinds()),
                requests_per_second,
                hot_keys=4,
                hot_share=0.25,
                seed=self._seed,
            )
        )
        await self.caller.start()

    def journal(self) -> Journal:
        """Return the merged journals of the targets and the callers."""
        merged = self.caller.journal if self.caller else Journal()
        for target in self.targets:
            merged += target.journal
        return merged

    def _create_daemon(self, zone: Zone, number: int) -> Daemon:
        listen = Listeners(LOOPBACK_ADDRESS, LOOPBACK_ADDRESS, LOOPBACK_ADDRESS)
        name = f"{zone.name}-entry-{number + 1}"
        return Daemon(
            Settings(name, zone.name, listen, self._platform.url, seed=self._seed)
        )

    def _create_target(self, service: Service, number: int) -> TargetStandin:
        zones = self.configuration.zones
        return TargetStandin(
            TargetSettings(
                name=f"{self.configuration.workspace}-{service.name}-{number + 1:02}",
                zone=zones[number % len(zones)].name,
                workspace=self.configuration.workspace,
                service=service.name,
                slots=service.slots,
                connection_limit=service.connections,
                run_times=RunTimes(RUN_SECONDS),
                run_times_by_kind=_patient_run_times(service),
                seed=self._seed + number,
            )
        )

    def _call_kinds(self) -> Iterable[CallKind]:
        for service in self.configuration.services:
            share = 3.0 if service.exclusive_keys else 1.0
            for kind in service.kinds:
                yield CallKind(
                    service.name,
                    kind.name,
                    kind.idempotent,
                    kind.timeout_seconds,
                    share / len(service.kinds),
                )

    def _shards(self) -> list[ShardId]:
        return [
            ShardId(self.name, service.name, index)
            for service in self.exclusive_services()
            for index in range(service.shards)
        ]


def _patient_run_times(service: Service) -> dict[str, RunTimes]:
    return {
        kind.name: RunTimes(PATIENT_RUN_SECONDS)
        for kind in service.kinds
        if kind.urgency is Urgency.PATIENT
    }
