from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys

import pytest

from tests.process_deployment import ROOT, ProcessDeployment

RUN_COMMAND = "from balsamway.commands.main import run; run()"

pytestmark = pytest.mark.processes


async def test_a_report_is_made_from_the_metrics_of_running_daemons(tmp_path):
    deployment = ProcessDeployment(tmp_path)
    page_path = tmp_path / "report.html"
    try:
        await deployment.start()
        responses = await deployment.call_for(1.0, ["entry-1", "entry-2"], 1)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            RUN_COMMAND,
            "report",
            f"--platform={deployment.platform.url}",
            "--workspace=workshop",
            f"--html={page_path}",
            "--json",
            stdout=subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
        )
        printed, _ = await process.communicate()
    finally:
        await deployment.stop()
    assert process.returncode == 0
    report = json.loads(printed)
    assert sum(service["requests"] for service in report["services"]) >= len(responses)
    assert any(service["targets"] for service in report["services"])
    assert "<svg" in page_path.read_text()
