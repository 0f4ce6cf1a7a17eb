"""Runs the events of a demonstration one after the other."""

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

STEADY_SECONDS = 1.5
"""How long the load runs without an event, at the start and at the end."""

HOT_SECONDS = 2.0
"""How long the load runs after the hot keys changed."""

LOSS_SECONDS = 4.5
"""How long the load runs after a target was lost."""

DRAIN_TIMEOUT_SECONDS = 20.0
"""How long a stopped target may take to drain."""

IN_FORCE_TIMEOUT_SECONDS = 4.0
"""How long a changed configuration may take to be in force at all hosts."""

LONGER_TIMEOUT_FACTOR = 1.5
"""The factor by which the changed configuration extends all timeouts."""

logger = logging.getLogger(__name__)


class Scenario:
    """Runs load while hot keys, targets and a configuration change."""

    def __init__(
        self,
        deployment: Deployment,
        requests_per_second: float,
        report_progress: Callable[[str], None],
    ) -> None:
        """Create a scenario.

        Args:
            deployment: The deployment, which has been started.
            requests_per_second: The request rate of each workspace's callers.
            report_progress: Called with a description of each event that
                starts.
        """
        self._deployment = deployment
        self._requests_per_second = requests_per_second
        self._report_progress = report_progress
        self._events: list[EventReport] = []

    async def run(self) -> tuple[EventReport, ...]:
        """Run the events in order.

        Returns:
            The reports of the events whose duration is measured.
        """
        first, *others = self._deployment.workspaces
        last = others[-1] if others else first
        await self._start_load()
        await self._change_hot_keys()
        await self._lose_target(first)
        await self._stop_target(last)
        await self._accept_change(first)
        self._report_progress("waiting for the last requests to end")
        for workspace in self._deployment.workspaces:
            if workspace.caller is not None:
                await workspace.caller.finish()
        return tuple(self._events)

    async def _start_load(self) -> None:
        self._report_progress("starting the callers, with a few hot keys each")
        for workspace in self._deployment.workspaces:
            await workspace.start_callers(self._requests_per_second)
        await asyncio.sleep(STEADY_SECONDS)

    async def _change_hot_keys(self) -> None:
        self._report_progress("the hot keys change")
        for workspace in self._deployment.workspaces:
            if workspace.caller is not None:
                workspace.caller.change_hot_set()
        await asyncio.sleep(HOT_SECONDS)

    async def _lose_target(self, workspace: EmbeddedWorkspace) -> None:
        service = workspace.exclusive_services()[0]
        target = workspace.service_targets(service.name)[0]
        self._report_progress(f"{target.name} is lost")
        target.faults = TargetFaults(frozen=True)
        await asyncio.sleep(LOSS_SECONDS)

    async def _stop_target(self, workspace: EmbeddedWorkspace) -> None:
        service = workspace.exclusive_services()[0]
        target = workspace.service_targets(service.name)[-1]
        self._report_progress(f"{target.name} is asked to leave")
        started_at = asyncio.get_running_loop().time()
        await target.leave()
        self._deployment.platform.put_host(target.host)
        await asyncio.wait_for(target.wait_drained(), DRAIN_TIMEOUT_SECONDS)
        await target.stop()
        self._deployment.platform.remove_host(target.name)
        duration_seconds = asyncio.get_running_loop().time() - started_at
        self._events.append(EventReport(f"{target.name} left", duration_seconds))

    async def _accept_change(self, workspace: EmbeddedWorkspace) -> None:
        self._report_progress(
            f"a change to {workspace.name}'s configuration is accepted"
        )
        changed = _with_longer_timeouts(workspace.configuration)
        version = await self._deployment.accept(changed, 1)
        duration_seconds = await self._deployment.wait_for(
            lambda: workspace.has_adopted(version),
            f"{workspace.name}: version {version}",
            IN_FORCE_TIMEOUT_SECONDS,
        )
        self._events.append(
            EventReport(
                f"{workspace.name} version {version} in force everywhere",
                duration_seconds,
            )
        )
        await asyncio.sleep(STEADY_SECONDS)


def _with_longer_timeouts(
    configuration: WorkspaceConfiguration,
) -> WorkspaceConfiguration:
    services = tuple(map(_with_longer_kind_timeouts, configuration.services))
    return dataclasses.replace(configuration, services=services)


def _with_longer_kind_timeouts(service: Service) -> Service:
    kinds = tuple(
        dataclasses.replace(
            kind, timeout_seconds=kind.timeout_seconds * LONGER_TIMEOUT_FACTOR
        )
        for kind in service.kinds
    )
    return dataclasses.replace(service, kinds=kinds)
