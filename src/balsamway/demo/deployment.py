"""Runs all workspaces' hosts with one platform stand-in."""

from __future__ import annotations

import asyncio
import functools
import random
from typing import TYPE_CHECKING

import mode

from balsamway.configuration.acceptance import Acceptance
from balsamway.configuration.acceptance_result import Accepted
from balsamway.demo.embedded_workspace import EmbeddedWorkspace
from balsamway.standins.journal import Journal, VersionSeen
from balsamway.standins.platform import PlatformSettings, PlatformStandin
from balsamway.store.http_store import HttpStore

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.configuration import WorkspaceConfiguration
    from balsamway.daemon.daemon import Daemon

LOOPBACK_ADDRESS = "127.0.0.1:0"
"""Listens on the loopback interface, on a port that the system chooses."""

READY_TIMEOUT_SECONDS = 60.0
"""How long the deployment may take to be ready."""

POLL_INTERVAL_SECONDS = 0.05
"""The interval at which a condition is checked."""

VERSION_POLL_INTERVAL_SECONDS = 0.25
"""The interval at which the versions in force at each host are recorded."""


class NotReadyError(RuntimeError):
    """A part of the deployment was not ready in time; the text names it."""


class Deployment(mode.Service):
    """Runs a platform stand-in and the hosts of each workspace."""

    def __init__(self, configurations: list[WorkspaceConfiguration], seed: int) -> None:
        """Create a deployment that is not started.

        Args:
            configurations: The generated configuration of each workspace.
            seed: The seed of all random choices.
        """
        super().__init__()
        self._configurations = configurations
        self._seed = seed
        self._versions: list[VersionSeen] = []
        self.platform = PlatformStandin(PlatformSettings(LOOPBACK_ADDRESS))
        self.workspaces: list[EmbeddedWorkspace] = []

    async def on_start(self) -> None:
        """Start all hosts and wait until every key has an owner."""
        await self.add_runtime_dependency(self.platform)
        self.workspaces = [
            EmbeddedWorkspace(configuration, self.platform, self._seed)
            for configuration in self._configurations
        ]
        for workspace in self.workspaces:
            await workspace.start()
            await self.accept(workspace.configuration, 0)
        for workspace in self.workspaces:
            is_adopted = functools.partial(workspace.has_adopted, 1)
            await self.wait_for(is_adopted, f"{workspace.name}: version 1")
            await self.wait_for(workspace.has_all_grants, f"{workspace.name}: grants")

    async def on_stop(self) -> None:
        """Stop the hosts of the workspaces."""
        await asyncio.gather(*(workspace.stop() for workspace in self.workspaces))

    async def accept(
        self, configuration: WorkspaceConfiguration, base_version: int
    ) -> int:
        """Accept a configuration as an operator does.

        Args:
            configuration: The new configuration.
            base_version: The version that it replaces; 0 for none.

        Returns:
            The version under which it was accepted.

        Raises:
            NotReadyError: If the configuration was not accepted.
        """
        store = HttpStore(self.platform.url)
        try:
            acceptance = Acceptance(store, random.Random(self._seed))
            match await acceptance.accept(configuration, base_version):
                case Accepted(version=version):
                    return version
                case result:
                    raise NotReadyError(f"configuration not accepted: {result}")
        finally:
            await store.close()

    async def wait_for(
        self,
        condition: Callable[[], bool],
        description: str,
        timeout_seconds: float = READY_TIMEOUT_SECONDS,
    ) -> float:
        """Wait until a condition holds.

        Args:
            condition: Whether the condition holds.
            description: What is waited for, for the text of the error.
            timeout_seconds: The longest time to wait, in seconds.

        Returns:
            How long the wait took, in seconds.

        Raises:
            NotReadyError: If the condition did not hold in time.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while not condition():
            if loop.time() - started_at > timeout_seconds:
                raise NotReadyError(f"not ready in time: {description}")
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return loop.time() - started_at

    def journal(self) -> Journal:
        """Return the merged journals of all stand-ins."""
        merged = Journal(versions=tuple(self._versions))
        for workspace in self.workspaces:
            merged += workspace.journal()
        return merged

    @mode.Service.task
    async def _watch_versions(self) -> None:
        while not self.should_stop:
            now = asyncio.get_running_loop().time()
            for workspace in self.workspaces:
                for daemon in workspace.daemons:
                    self._record_versions(daemon, now)
            await self.sleep(VERSION_POLL_INTERVAL_SECONDS)

    def _record_versions(self, daemon: Daemon, now: float) -> None:
        for workspace, version in daemon.configurations.versions().items():
            self._versions.append(
                VersionSeen(
                    daemon.host.name, daemon.incarnation, workspace, version, now
                )
            )
