"""One member's entry hosts, servers and callers, in this process."""

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
from balsamway.standins.server import ServerSettings, ServerStandin
from balsamway.standins.server.run_times import RunTimes

if TYPE_CHECKING:
    from collections.abc import Iterable

    from balsamway.configuration import MemberConfiguration, Service, Zone
    from balsamway.standins.platform import PlatformStandin

ANY_ADDRESS = "127.0.0.1:0"
ENTRY_HOSTS_A_ZONE_AT_MOST = 2
PATIENT_RUN_SECONDS = 0.02
RUN_SECONDS = 0.004


class EmbeddedMember:
    """Starts and stops the processes of one member."""

    def __init__(
        self, configuration: MemberConfiguration, platform: PlatformStandin, seed: int
    ) -> None:
        """Plans the member's hosts.

        Args:
            configuration: What was generated for the member.
            platform: The platform stand-in that all hosts use.
            seed: Seeds every random choice.
        """
        self._platform = platform
        self._seed = seed
        self.configuration = dataclasses.replace(
            configuration, token_hashes=(token_hash(configuration.member),)
        )
        self.daemons = [
            self._daemon(zone, number)
            for zone in configuration.zones
            for number in range(min(zone.entry_hosts, ENTRY_HOSTS_A_ZONE_AT_MOST))
        ]
        self.servers = [
            self._server(service, number)
            for service in configuration.services
            for number in range(service.instances)
        ]
        self.caller: CallerStandin | None = None

    @property
    def name(self) -> str:
        """The member's name."""
        return self.configuration.member

    @property
    def server_counts(self) -> dict[str, int]:
        """How many servers each `member/service` has."""
        return {
            f"{self.name}/{service.name}": service.instances
            for service in self.configuration.services
        }

    async def start(self) -> None:
        """Starts the servers, lists all hosts and starts the daemons."""
        for server in self.servers:
            await server.start()
            self._platform.put_host(server.host)
        for daemon in self.daemons:
            await daemon.start()
            self._platform.put_host(daemon.host)

    async def stop(self) -> None:
        """Stops the callers, the daemons and the servers, in this order."""
        if self.caller is not None:
            await self.caller.stop()
        await asyncio.gather(*(daemon.stop() for daemon in self.daemons))
        await asyncio.gather(*(server.stop() for server in self.servers))

    def in_force(self, version: int) -> bool:
        """Tells whether every entry host has adopted a version.

        Args:
            version: The version of the member's configuration.

        Returns:
            True if it, or a later one, is in force at every entry host.
        """
        return all(
            daemon.configurations.versions().get(self.name, 0) >= version
            for daemon in self.daemons
        )

    def servers_of(self, service: str) -> list[ServerStandin]:
        """Lists the servers of a service."""
        return [one for one in self.servers if one.host.service == service]

    def exclusive_services(self) -> list[Service]:
        """Lists the services with exclusive keys."""
        return [one for one in self.configuration.services if one.exclusive_keys]

    def is_granted(self) -> bool:
        """Tells whether servers hold every slice of the exclusive services."""
        return all(
            any(daemon.leadership.leader(shard) for daemon in self.daemons)
            for shard in self._shards()
        ) and all(
            server.journal.grants
            for service in self.exclusive_services()
            for server in self.servers_of(service.name)
        )

    async def call(self, requests_per_second: float) -> None:
        """Starts the member's callers.

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
        """Merges what the member's servers and callers wrote down."""
        merged = self.caller.journal if self.caller else Journal()
        for server in self.servers:
            merged += server.journal
        return merged

    def _daemon(self, zone: Zone, number: int) -> Daemon:
        listen = Listeners(ANY_ADDRESS, ANY_ADDRESS, ANY_ADDRESS)
        name = f"{zone.name}-entry-{number + 1}"
        return Daemon(
            Settings(name, zone.name, listen, self._platform.url, seed=self._seed)
        )

    def _server(self, service: Service, number: int) -> ServerStandin:
        zones = self.configuration.zones
        return ServerStandin(
            ServerSettings(
                name=f"{self.configuration.member}-{service.name}-{number + 1:02}",
                zone=zones[number % len(zones)].name,
                member=self.configuration.member,
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
