"""One workspace's entry hosts, targets and callers, in this process."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from balsamway.configuration import Urgency
from balsamway.daemon.daemon import Daemon
from balsamway.demo._tokens import token_hash, token_of
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

ANY_ADDRESS = "127.0.0.1:0"
ENTRY_HOSTS_A_ZONE_AT_MOST = 2
PATIENT_RUN_SECONDS = 0.02
RUN_SECONDS = 0.004


class EmbeddedWorkspace:
    """Starts and stops the processes of one workspace."""

    def __init__(
        self,
        configuration: WorkspaceConfiguration,
        platform: PlatformStandin,
        seed: int,
    ) -> None:
        """Plans the workspace's hosts.

        Args:
            configuration: What was generated for the workspace.
            platform: The platform stand-in that all hosts use.
            seed: Seeds every random choice.
        """
        self._platform = platform
        self._seed = seed
        self.configuration = dataclasses.replace(
            configuration, token_hashes=(token_hash(configuration.workspace),)
        )
        self.daemons = [
            self._daemon(zone, number)
            for zone in configuration.zones
            for number in range(min(zone.entry_hosts, ENTRY_HOSTS_A_ZONE_AT_MOST))
        ]
        self.targets = [
            self._target(service, number)
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
        """How many targets each `workspace/service` has."""
        return {
            f"{self.name}/{service.name}": service.instances
            for service in self.configuration.services
        }

    async def start(self) -> None:
        """Starts the targets, lists all hosts and starts the daemons."""
        for target in self.targets:
            await target.start()
            self._platform.put_host(target.host)
        for daemon in self.daemons:
            await daemon.start()
            self._platform.put_host(daemon.host)

    async def stop(self) -> None:
        """Stops the callers, the daemons and the targets, in this order."""
        if self.caller is not None:
            await self.caller.stop()
        await asyncio.gather(*(daemon.stop() for daemon in self.daemons))
        await asyncio.gather(*(target.stop() for target in self.targets))

    def in_force(self, version: int) -> bool:
        """Tells whether every entry host has adopted a version.

        Args:
            version: The version of the workspace's configuration.

        Returns:
            True if it, or a later one, is in force at every entry host.
        """
        return all(
            daemon.configurations.versions().get(self.name, 0) >= version
            for daemon in self.daemons
        )

    def targets_of(self, service: str) -> list[TargetStandin]:
        """Lists the targets of a service."""
        return [one for one in self.targets if one.host.service == service]

    def exclusive_services(self) -> list[Service]:
        """Lists the services with exclusive keys."""
        return [one for one in self.configuration.services if one.exclusive_keys]

    def is_granted(self) -> bool:
        """Tells whether targets hold every slice of the exclusive services."""
        return all(
            any(daemon.leadership.leader(shard) for daemon in self.daemons)
            for shard in self._shards()
        ) and all(
            target.journal.grants
            for service in self.exclusive_services()
            for target in self.targets_of(service.name)
        )

    async def call(self, requests_per_second: float) -> None:
        """Starts the workspace's callers.

        Args:
            requests_per_second: How many requests they send.
        """
        self.caller = CallerStandin(
            CallerSettings(
                self.name,
                token_of(self.name),
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
        """Merges what the workspace's targets and callers wrote down."""
        merged = self.caller.journal if self.caller else Journal()
        for target in self.targets:
            merged += target.journal
        return merged

    def _daemon(self, zone: Zone, number: int) -> Daemon:
        listen = Listeners(ANY_ADDRESS, ANY_ADDRESS, ANY_ADDRESS)
        name = f"{zone.name}-entry-{number + 1}"
        return Daemon(
            Settings(name, zone.name, listen, self._platform.url, seed=self._seed)
        )

    def _target(self, service: Service, number: int) -> TargetStandin:
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
