"""Keeps the configurations in force on this host up to date."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import mode

from balsamway.clock import now
from balsamway.configuration.adopted_configuration import AdoptedConfiguration
from balsamway.configuration.codec import decode_configuration
from balsamway.configuration.configuration_metrics import ConfigurationMetrics
from balsamway.configuration.configuration_table import ConfigurationTable
from balsamway.configuration.messages import (
    ConfigurationDigest,
    ConfigurationDigestAnswer,
    ConfigurationNotice,
)
from balsamway.configuration.relays import Relays
from balsamway.configuration.store_follower import StoreFollower
from balsamway.outcome import Malformed

if TYPE_CHECKING:
    from random import Random

    from prometheus_client import CollectorRegistry

    from balsamway.configuration.workspace_configuration import WorkspaceConfiguration
    from balsamway.membership.host_directory import HostDirectory
    from balsamway.peers.peers import Peers
    from balsamway.store import Store

STORE_SOURCE = "store"
EXCHANGE_SECONDS = 1.0
FIRST_EXCHANGE_SECONDS = 0.25
EXCHANGE_TIMEOUT_SECONDS = 0.8
NOTICES_PER_ANSWER = 16

logger = logging.getLogger(__name__)


class ConfigurationService(mode.Service):
    """Implements `Configurations`.

    The relays of each zone follow the store and pass on what they adopt;
    every host also compares versions with other hosts, which brings what a
    lost notice or a partition kept away.
    """

    def __init__(
        self,
        host: str,
        zone: str,
        store: Store,
        peers: Peers,
        directory: HostDirectory,
        rng: Random,
        registry: CollectorRegistry | None = None,
    ) -> None:
        """Prepares the service.

        Args:
            host: This host's name.
            zone: This host's availability zone.
            store: Where configurations are kept.
            peers: The other entry hosts.
            directory: Names the entry hosts and those heard from lately.
            rng: Chooses the hosts to compare with.
            registry: Where to register metrics; None for none.
        """
        super().__init__()
        self._peers = peers
        self._rng = rng
        self._table = ConfigurationTable()
        self._relays = Relays(host, zone, directory)
        self._metrics = ConfigurationMetrics(registry)
        self._follower = StoreFollower(
            zone, store, self._relays, self._table, self._on_stored, rng
        )
        peers.register_handler(ConfigurationNotice, self._on_configuration_notice)
        peers.register_handler(ConfigurationDigest, self._on_configuration_digest)

    async def on_start(self) -> None:
        """Starts to follow the store."""
        await self.add_runtime_dependency(self._follower)

    def workspace(self, name: str) -> WorkspaceConfiguration | None:
        """Gives the configuration in force; see `Configurations`."""
        return self._table.workspace(name)

    def workspaces(self) -> tuple[WorkspaceConfiguration, ...]:
        """Lists the configurations in force; see `Configurations`."""
        return self._table.workspaces()

    def workspace_of_token(self, token: str) -> WorkspaceConfiguration | None:
        """Finds the workspace of a token; see `Configurations`."""
        return self._table.workspace_of_token(token)

    def versions(self) -> dict[str, int]:
        """Gives the version in force for each workspace."""
        return {found.workspace: found.version for found in self._table.versions()}

    def dump(self) -> dict[str, object]:
        """Describes the configurations in force for the state dump."""
        adopted = (self._table.adopted(name) for name in self.versions())
        return {
            "store": self._follower.dump(),
            "workspaces": {
                found.configuration.workspace: {
                    "version": found.configuration.version,
                    "change_id": found.configuration.change_id,
                    "source": found.source,
                    "age_seconds": round(now() - found.adopted_at, 3),
                }
                for found in adopted
                if found is not None
            },
        }

    def _on_stored(self, workspace: str, body: bytes) -> None:
        adopted = self._adopt(workspace, body, STORE_SOURCE)
        if adopted is None:
            return
        self._pass_on_in_zone(adopted)
        for hosts in self._relays.other_zones().values():
            self._peers.send(hosts[0], _notice(adopted))

    async def _on_configuration_notice(
        self, sender: str, notice: ConfigurationNotice
    ) -> None:
        self._take(sender, notice)

    async def _on_configuration_digest(
        self, sender: str, digest: ConfigurationDigest
    ) -> ConfigurationDigestAnswer:
        if digest.fingerprint == self._table.fingerprint:
            return ConfigurationDigestAnswer(same=True)
        if digest.versions is None:
            return ConfigurationDigestAnswer(same=False)
        theirs = {found.workspace: found.version for found in digest.versions}
        ours = self.versions()
        newer = [name for name in ours if ours[name] > theirs.get(name, 0)]
        wanted = [name for name in theirs if theirs[name] > ours.get(name, 0)]
        return ConfigurationDigestAnswer(
            False, self._notices(newer), tuple(wanted[:NOTICES_PER_ANSWER])
        )

    @mode.Service.task
    async def _exchange(self) -> None:
        while not self.should_stop:
            await asyncio.gather(*map(self._compare, self._choose_peers()))
            is_empty = not self._table.workspaces()
            await self.sleep(FIRST_EXCHANGE_SECONDS if is_empty else EXCHANGE_SECONDS)

    def _choose_peers(self) -> list[str]:
        """Chooses a host of this zone and one of another to compare with."""
        away = [name for hosts in self._relays.other_zones().values() for name in hosts]
        groups = [list(self._relays.zone_hosts()), away]
        if not any(groups):
            groups = [list(self._relays.known_peers())]
        return [self._rng.choice(group) for group in groups if group]

    async def _compare(self, host: str) -> None:
        fingerprint = self._table.fingerprint
        digest = ConfigurationDigest(fingerprint, None)
        answer = await self._call(host, digest)
        if answer is None or answer.same:
            return
        digest = ConfigurationDigest(self._table.fingerprint, self._table.versions())
        answer = await self._call(host, digest)
        if answer is None:
            return
        for notice in answer.newer:
            self._take(host, notice)
        for notice in self._notices(list(answer.wanted)):
            self._peers.send(host, notice)

    async def _call(
        self, host: str, digest: ConfigurationDigest
    ) -> ConfigurationDigestAnswer | None:
        answer = await self._peers.call(host, digest, EXCHANGE_TIMEOUT_SECONDS)
        return answer if isinstance(answer, ConfigurationDigestAnswer) else None

    def _take(self, sender: str, notice: ConfigurationNotice) -> None:
        if notice.version <= self._table.version(notice.workspace):
            return
        adopted = self._adopt(notice.workspace, notice.body, sender)
        if adopted is not None and not self._relays.in_zone(sender):
            self._pass_on_in_zone(adopted)

    def _adopt(
        self, workspace: str, body: bytes, source: str
    ) -> AdoptedConfiguration | None:
        """Puts a body in force; returns None where it is not newer."""
        found = decode_configuration(body, workspace)
        if isinstance(found, Malformed):
            self._metrics.refused(source)
            logger.error(
                "configuration malformed",
                extra={
                    "workspace": workspace,
                    "source": source,
                    "reason": found.reason,
                },
            )
            return None
        offered = AdoptedConfiguration(found, body, source, now())
        if not self._table.adopt(offered):
            return None
        self._note_adopted(offered)
        return offered

    def _note_adopted(self, adopted: AdoptedConfiguration) -> None:
        configuration = adopted.configuration
        self._metrics.adopted(configuration, adopted.source)
        logger.info(
            "configuration adopted",
            extra={
                "workspace": configuration.workspace,
                "version": configuration.version,
                "source": adopted.source,
            },
        )
        shared = self._table.sharing_tokens(configuration)
        if shared:
            logger.error(
                "token shared between workspaces",
                extra={"workspace": configuration.workspace, "others": shared},
            )

    def _pass_on_in_zone(self, adopted: AdoptedConfiguration) -> None:
        for host in self._relays.zone_hosts():
            self._peers.send(host, _notice(adopted))

    def _notices(self, workspaces: list[str]) -> tuple[ConfigurationNotice, ...]:
        adopted = map(self._table.adopted, workspaces[:NOTICES_PER_ANSWER])
        return tuple(_notice(found) for found in adopted if found is not None)


def _notice(adopted: AdoptedConfiguration) -> ConfigurationNotice:
    configuration = adopted.configuration
    return ConfigurationNotice(
        configuration.workspace, configuration.version, adopted.body
    )
