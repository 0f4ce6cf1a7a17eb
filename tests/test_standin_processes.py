from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import aiohttp
import pytest

import balsamway

SOURCES = str(Path(balsamway.__file__).parents[1])

pytestmark = pytest.mark.processes


@pytest.fixture
def start(tmp_path):
    processes = []

    def start(role, settings):
        path = tmp_path / f"{role}.json5"
        path.write_text("// settings\n" + json.dumps(settings))
        command = [sys.executable, "-m", "balsamway.standins.main", role]
        command += ["--settings", str(path)]
        process = subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            text=True,
            env=os.environ | {"PYTHONPATH": SOURCES},
        )
        processes.append(process)
        return process, process.stdout.readline().strip()

    yield start
    for process in processes:
        process.kill()
        process.wait()
        process.stdout.close()


async def test_a_target_registers_itself_and_drains_when_stopped(start):
    platform, platform_address = start("platform", {"listen": "127.0.0.1:0"})
    settings = {"name": "s1", "zone": "a", "workspace": "m", "service": "s"}
    settings |= {"platform": f"http://{platform_address}", "drain_seconds": 5.0}
    target, address = start("target", settings)
    async with aiohttp.ClientSession() as session:
        hosts = await _hosts(session, platform_address)
        assert [(host["address"], host["state"]) for host in hosts] == [
            (address, "live")
        ]
        target.send_signal(signal.SIGTERM)
        assert target.wait(timeout=20) == 0
        hosts = await _hosts(session, platform_address)
        assert [host["state"] for host in hosts] == ["leaving"]
    platform.send_signal(signal.SIGTERM)
    assert platform.wait(timeout=20) == 0


async def _hosts(session, address):
    async with session.get(f"http://{address}/hosts") as response:
        return await response.json()


def test_invalid_settings_exit_with_a_usage_error(start):
    process, _ = start("target", {"name": 1})
    assert process.wait(timeout=20) == 2
