"""Keep the configurations in force on this host up to date."""

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
from balsamway.configuration.configuration_watcher import ConfigurationWatcher
from balsamway.configuration.messages import (
    ConfigurationDigest,
    ConfigurationDigestAnswer,
    ConfigurationNotice,
)
from balsamway.configuration.relays import Relays
from balsamway.outcome import Malformed

if TYPE_CHECKING:
    from random import Random

    from prometheus_client import CollectorRegistry

    from balsamway.configuration.workspace_configuration import WorkspaceConfiguration
    from balsamway.membership.host_directory import HostDirectory
    from balsamway.peers.peers import Peers
    from balsamway.store import Store

STORE_SOURCE = "store"
EXCHANGE_INTERVAL_SECONDS = 1.0
"""How often a host compares its versions with other hosts."""
EMPTY_EXCHANGE_INTERVAL_SECONDS = 0.25
"""How often a host without any configuration does so."""
EXCHANGE_TIMEOUT_SECONDS = 0.8
"""How long to wait for the answer to a digest."""
MAX_NOTICES_PER_ANSWER = 16
"""How many configurations, or names of wanted ones, go into one answer."""

logger = logging.getLogger(__name__)


class ConfigurationService(mode.Service):
    """Implements `Configurations`.

    The relays of each zone watch the store and send what they adopt to the
    other hosts of their zone and to one host of each other zone. Every host
    also compares versions with other hosts regularly. This delivers
    configurations that a lost notice or a partition had withheld.
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
        """Create a service without any configuration in force.

        Args:
            host: This host's name.
            zone: This host's availability zone.
            store: The store that holds the configurations.
            peers: The other entry hosts.
            directory: Lists the entry hosts and those that sent a heartbeat
                recently.
            rng: Chooses the hosts to compare versions with.
            registry: The registry for the metrics; None for a private one.
        """
        super().__init__()
        self._peers = peers
        self._rng = rng
        self._table = ConfigurationTable()
        self._relays = Relays(host, zone, directory)
        self._metrics = ConfigurationMetrics(registry)
        self._watcher = ConfigurationWatcher(
            zone, store, self._relays, self._table, self._on_stored, rng
        )
        peers.register_handler(ConfigurationNotice, self._on_configuration_notice)
        peers.register_handler(ConfigurationDigest, self._on_configuration_digest)

    async def on_start(self) -> None:
        """Start to watch the store."""
        await self.add_runtime_dependency(self._watcher)

    def workspace(self, name: str) -> WorkspaceConfiguration | None:
        """Return a configuration in force; see `Configurations`."""
        return self._table.workspace(name)

    def workspaces(self) -> tuple[WorkspaceConfiguration, ...]:
        """Return the configurations in force; see `Configurations`."""
        return self._table.workspaces()

    def workspace_of_token(self, token: str) -> WorkspaceConfiguration | None:
        """Find the workspace of a token; see `Configurations`."""
        return self._table.workspace_of_token(token)

    def versions(self) -> dict[str, int]:
        """Return the version in force for each workspace."""
        return {each.workspace: each.version for each in self._table.versions()}

    def dump(self) -> dict[str, object]:
        """Return the configurations in force for the state dump."""
        adopted = (self._table.adopted(name) for name in self.versions())
        return {
            "store": self._watcher.dump(),
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
        self._send_to_local_zone(adopted)
        for hosts in self._relays.other_zone_hosts().values():
            self._peers.send(hosts[0], _notice(adopted))

    async def _on_configuration_notice(
        self, sender: str, notice: ConfigurationNotice
    ) -> None:
        self._apply_notice(sender, notice)

    async def _on_configuration_digest(
        self, sender: str, digest: ConfigurationDigest
    ) -> ConfigurationDigestAnswer:
        if digest.fingerprint == self._table.fingerprint:
            return ConfigurationDigestAnswer(same=True)
        if digest.versions is None:
            return ConfigurationDigestAnswer(same=False)
        theirs = {each.workspace: each.version for each in digest.versions}
        ours = self.versions()
        newer = [name for name in ours if ours[name] > theirs.get(name, 0)]
        wanted = [name for name in theirs if theirs[name] > ours.get(name, 0)]
        return ConfigurationDigestAnswer(
            False, self._notices(newer), tuple(wanted[:MAX_NOTICES_PER_ANSWER])
        )

    @mode.Service.task
    async def _exchange_versions(self) -> None:
        while not self.should_stop:
            await asyncio.gather(*map(self._compare_versions, self._choose_peers()))
            is_empty = not self._table.workspaces()
            await self.sleep(
                EMPTY_EXCHANGE_INTERVAL_SECONDS
                if is_empty
                else EXCHANGE_INTERVAL_SECONDS
            )

    def _choose_peers(self) -> list[str]:
        """Choose one host of this zone and one of the other zones.

        Without any live host, choose among all known entry hosts.
        """
        remote = [
            name for hosts in self._relays.other_zone_hosts().values() for name in hosts
        ]
        groups = [list(self._relays.local_zone_peers()), remote]
        if not any(groups):
            groups = [list(self._relays.all_peers())]
        return [self._rng.choice(group) for group in groups if group]

    async def _compare_versions(self, host: str) -> None:
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
            self._apply_notice(host, notice)
        for notice in self._notices(list(answer.wanted)):
            self._peers.send(host, notice)

    async def _call(
        self, host: str, digest: ConfigurationDigest
    ) -> ConfigurationDigestAnswer | None:
        answer = await self._peers.call(host, digest, EXCHANGE_TIMEOUT_SECONDS)
        return answer if isinstance(answer, ConfigurationDigestAnswer) else None

    def _apply_notice(self, sender: str, notice: ConfigurationNotice) -> None:
        if notice.version <= self._table.version(notice.workspace):
            return
        adopted = self._adopt(notice.workspace, notice.body, sender)
        if adopted is not None and not self._relays.is_in_local_zone(sender):
            self._send_to_local_zone(adopted)

    def _adopt(
        self, workspace: str, body: bytes, source: str
    ) -> AdoptedConfiguration | None:
        """Adopt an encoded configuration.

        Returns None if it is malformed or not newer than the one in force.
        """
        found = decode_configuration(body, workspace)
        if isinstance(found, Malformed):
            self._metrics.count_malformed(source)
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
        self._report_adopted(offered)
        return offered

    def _report_adopted(self, adopted: AdoptedConfiguration) -> None:
        configuration = adopted.configuration
        self._metrics.count_adopted(configuration, adopted.source)
        logger.info(
            "configuration adopted",
            extra={
                "workspace": configuration.workspace,
                "version": configuration.version,
                "source": adopted.source,
            },
        )
        sharing = self._table.workspaces_sharing_tokens(configuration)
        if sharing:
            logger.error(
                "token shared between workspaces",
                extra={"workspace": configuration.workspace, "others": sharing},
            )

    def _send_to_local_zone(self, adopted: AdoptedConfiguration) -> None:
        for host in self._relays.local_zone_peers():
            self._peers.send(host, _notice(adopted))

    def _notices(self, workspaces: list[str]) -> tuple[ConfigurationNotice, ...]:
        adopted = map(self._table.adopted, workspaces[:MAX_NOTICES_PER_ANSWER])
        return tuple(_notice(found) for found in adopted if found is not None)


def _notice(adopted: AdoptedConfiguration) -> ConfigurationNotice:
    configuration = adopted.configuration
    return ConfigurationNotice(
        configuration.workspace, configuration.version, adopted.body
    )
