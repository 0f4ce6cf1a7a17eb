"""Runs a demonstration from its setup to its result."""

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
    report_progress: Callable[[str], None],
) -> DemoResult:
    """Run the workspaces' deployments through the events of the scenario.

    Args:
        configurations: The generated configuration of each workspace.
        seed: The seed of all random choices.
        requests_per_second: The request rate of each workspace's callers.
        report_progress: Called with a description of each step that starts.

    Returns:
        The measures and violations, computed from the stand-ins' journals.

    Raises:
        NotReadyError: If a part of the deployment was not ready in time.
    """
    deployment = Deployment(configurations, seed)
    report_progress("starting the platform, targets and entry hosts")
    await deployment.start()
    try:
        load_start = asyncio.get_running_loop().time()
        scenario = Scenario(deployment, requests_per_second, report_progress)
        events = await scenario.run()
        report_progress("checking the journals")
        journal = deployment.journal()
        target_counts: dict[str, int] = {}
        for workspace in deployment.workspaces:
            target_counts |= workspace.target_counts
        return DemoResult(
            summarize(journal, load_start, target_counts), events, check(journal)
        )
    finally:
        report_progress("stopping")
        await deployment.stop()
