"""All workspaces' deployments on one platform stand-in."""

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

ANY_ADDRESS = "127.0.0.1:0"
READY_TIMEOUT_SECONDS = 60.0
POLL_SECONDS = 0.05
VERSION_POLL_SECONDS = 0.25


class NotReadyError(RuntimeError):
    """The deployment did not come to serve in time; the text says what."""


class Deployment(mode.Service):
    """A platform stand-in, and each workspace's hosts around it."""

    def __init__(self, configurations: list[WorkspaceConfiguration], seed: int) -> None:
        """Plans the deployment.

        Args:
            configurations: What was generated for each workspace.
            seed: Seeds every random choice.
        """
        super().__init__()
        self._planned = configurations
        self._seed = seed
        self._versions: list[VersionSeen] = []
        self.platform = PlatformStandin(PlatformSettings(ANY_ADDRESS))
        self.workspaces: list[EmbeddedWorkspace] = []

    async def on_start(self) -> None:
        """Starts every process and waits until every key has an owner."""
        await self.add_runtime_dependency(self.platform)
        self.workspaces = [
            EmbeddedWorkspace(one, self.platform, self._seed) for one in self._planned
        ]
        for workspace in self.workspaces:
            await workspace.start()
            await self.accept(workspace.configuration, 0)
        for workspace in self.workspaces:
            in_force = functools.partial(workspace.in_force, 1)
            await self.wait_for(in_force, f"{workspace.name}: version 1")
            await self.wait_for(workspace.is_granted, f"{workspace.name}: grants")

    async def on_stop(self) -> None:
        """Stops the workspaces' hosts."""
        await asyncio.gather(*(workspace.stop() for workspace in self.workspaces))

    async def accept(self, configuration: WorkspaceConfiguration, base: int) -> int:
        """Accepts a configuration as an operator would.

        Args:
            configuration: The configuration.
            base: The version that it replaces.

        Returns:
            The version accepted.

        Raises:
            NotReadyError: If it was not accepted.
        """
        store = HttpStore(self.platform.url)
        try:
            acceptance = Acceptance(store, random.Random(self._seed))
            match await acceptance.accept(configuration, base):
                case Accepted(version=version):
                    return version
                case other:
                    raise NotReadyError(f"not accepted: {other}")
        finally:
            await store.close()

    async def wait_for(
        self,
        condition: Callable[[], bool],
        what: str,
        timeout_seconds: float = READY_TIMEOUT_SECONDS,
    ) -> float:
        """Waits for a condition.

        Args:
            condition: Tells whether it holds.
            what: Names it for the error.
            timeout_seconds: The longest time to wait.

        Returns:
            How long it took, in seconds.

        Raises:
            NotReadyError: If it did not come to hold in time.
        """
        loop = asyncio.get_running_loop()
        begin = loop.time()
        while not condition():
            if loop.time() - begin > timeout_seconds:
                raise NotReadyError(f"not ready in time: {what}")
            await asyncio.sleep(POLL_SECONDS)
        return loop.time() - begin

    def journal(self) -> Journal:
        """Merges what every stand-in wrote down."""
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
                    self._note_versions(daemon, now)
            await self.sleep(VERSION_POLL_SECONDS)

    def _note_versions(self, daemon: Daemon, now: float) -> None:
        for workspace, version in daemon.configurations.versions().items():
            self._versions.append(
                VersionSeen(
                    daemon.host.name, daemon.incarnation, workspace, version, now
                )
            )
