"""Runs a demonstration from its set-up to its result."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from balsamway.demo.demo_result import DemoResult
from balsamway.demo.deployment import Deployment
from balsamway.demo.scenario import Scenario
from balsamway.standins.checker import check
from balsamway.standins.summary import summarize

if TYPE_CHECKING:
    from collections.abc import Callable

    from balsamway.configuration import WorkspaceConfiguration


async def run_demo(
    configurations: list[WorkspaceConfiguration],
    seed: int,
    requests_per_second: float,
    tell: Callable[[str], None],
) -> DemoResult:
    """Runs the workspaces' deployments through the events.

    Args:
        configurations: What was generated for each workspace.
        seed: Seeds every random choice.
        requests_per_second: The load of each workspace.
        tell: Told of each step as it begins.

    Returns:
        The measures and violations, computed from the stand-ins' journals.

    Raises:
        NotReadyError: If the deployment did not come to serve in time.
    """
    deployment = Deployment(configurations, seed)
    tell("starting the platform, targets and entry hosts")
    await deployment.start()
    try:
        since = asyncio.get_running_loop().time()
        scenario = Scenario(deployment, requests_per_second, tell)
        events = await scenario.run()
        tell("checking the journals")
        journal = deployment.journal()
        targets: dict[str, int] = {}
        for workspace in deployment.workspaces:
            targets |= workspace.target_counts
        return DemoResult(summarize(journal, since, targets), events, check(journal))
    finally:
        tell("stopping")
        await deployment.stop()
