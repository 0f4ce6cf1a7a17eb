"""What happens during a demonstration, one event after the other."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from typing import TYPE_CHECKING

from balsamway.demo.event_report import EventReport
from balsamway.standins.target.target_faults import TargetFaults

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.configuration import Service, WorkspaceConfiguration
    from balsamway.demo.deployment import Deployment
    from balsamway.demo.embedded_workspace import EmbeddedWorkspace

CALM_SECONDS = 1.5
HOT_SECONDS = 2.0
LOSS_SECONDS = 4.5
LEAVING_TIMEOUT_SECONDS = 20.0
IN_FORCE_TIMEOUT_SECONDS = 4.0
LONGER_TIMEOUT_FACTOR = 1.5

logger = logging.getLogger(__name__)


class Scenario:
    """Runs load through hot keys, a loss, a planned stop and a change."""

    def __init__(
        self,
        deployment: Deployment,
        requests_per_second: float,
        tell: Callable[[str], None],
    ) -> None:
        """Prepares the scenario.

        Args:
            deployment: The deployment, started.
            requests_per_second: The load of each workspace.
            tell: Told of each event as it begins.
        """
        self._deployment = deployment
        self._requests_per_second = requests_per_second
        self._tell = tell
        self._events: list[EventReport] = []

    async def run(self) -> tuple[EventReport, ...]:
        """Runs the events in order.

        Returns:
            What was seen of each.
        """
        first, *others = self._deployment.workspaces
        last = others[-1] if others else first
        await self._load()
        await self._change_hot_keys()
        await self._lose_target(first)
        await self._stop_target(last)
        await self._accept_change(first)
        self._tell("letting the last requests end")
        for workspace in self._deployment.workspaces:
            if workspace.caller is not None:
                await workspace.caller.finish()
        return tuple(self._events)

    async def _load(self) -> None:
        self._tell("callers begin, with a few hot keys each")
        for workspace in self._deployment.workspaces:
            await workspace.call(self._requests_per_second)
        await asyncio.sleep(CALM_SECONDS)

    async def _change_hot_keys(self) -> None:
        self._tell("the hot keys change")
        for workspace in self._deployment.workspaces:
            if workspace.caller is not None:
                workspace.caller.change_hot_set()
        await asyncio.sleep(HOT_SECONDS)

    async def _lose_target(self, workspace: EmbeddedWorkspace) -> None:
        service = workspace.exclusive_services()[0]
        target = workspace.targets_of(service.name)[0]
        self._tell(f"{target.name} is lost")
        target.faults = TargetFaults(frozen=True)
        await asyncio.sleep(LOSS_SECONDS)

    async def _stop_target(self, workspace: EmbeddedWorkspace) -> None:
        service = workspace.exclusive_services()[0]
        target = workspace.targets_of(service.name)[-1]
        self._tell(f"{target.name} is asked to leave")
        begin = asyncio.get_running_loop().time()
        await target.leave()
        self._deployment.platform.put_host(target.host)
        await asyncio.wait_for(target.wait_drained(), LEAVING_TIMEOUT_SECONDS)
        await target.stop()
        self._deployment.platform.remove_host(target.name)
        took = asyncio.get_running_loop().time() - begin
        self._events.append(EventReport(f"{target.name} left", took))

    async def _accept_change(self, workspace: EmbeddedWorkspace) -> None:
        self._tell(f"a change to {workspace.name}'s configuration is accepted")
        changed = _with_longer_timeouts(workspace.configuration)
        version = await self._deployment.accept(changed, 1)
        took = await self._deployment.wait_for(
            lambda: workspace.in_force(version),
            f"{workspace.name}: version {version}",
            IN_FORCE_TIMEOUT_SECONDS,
        )
        self._events.append(
            EventReport(f"{workspace.name} version {version} in force everywhere", took)
        )
        await asyncio.sleep(CALM_SECONDS)


def _with_longer_timeouts(
    configuration: WorkspaceConfiguration,
) -> WorkspaceConfiguration:
    services = tuple(map(_longer_service, configuration.services))
    return dataclasses.replace(configuration, services=services)


def _longer_service(service: Service) -> Service:
    kinds = tuple(
        dataclasses.replace(
            kind, timeout_seconds=kind.timeout_seconds * LONGER_TIMEOUT_FACTOR
        )
        for kind in service.kinds
    )
    return dataclasses.replace(service, kinds=kinds)
