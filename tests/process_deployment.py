from __future__ import annotations

import asyncio
import json
import os
import random
import socket
import subprocess
import sys
from pathlib import Path

import aiohttp

from balsamway.configuration.acceptance import Acceptance
from balsamway.configuration.acceptance_result import Accepted
from balsamway.configuration.generator import generate
from balsamway.configuration.questionnaire import read_questionnaire
from balsamway.standins.caller import CallerSettings, CallerStandin
from balsamway.standins.caller.call_kind import CallKind
from balsamway.standins.journal import Journal
from balsamway.standins.platform import PlatformSettings, PlatformStandin
from balsamway.standins.target import TargetSettings, TargetStandin
from balsamway.store import Host, HostRole
from balsamway.store.http_store import HttpStore

ROOT = Path(__file__).parent.parent
WORKSHOP = ROOT / "examples" / "walkthrough" / "workshop.json5"
RUN_DAEMON = "from balsamway.daemon.main import run; run()"
DAEMONS = 3
TARGETS = 2
POLL_SECONDS = 0.1
KINDS = (
    CallKind("stock", "lookup", idempotent=True),
    CallKind("stock", "order", idempotent=False),
)


class ProcessDeployment:
    """Daemons as plain processes; platform, targets and callers embedded."""

    def __init__(self, directory):
        self._directory = directory
        self._settings = {}
        self._targets = []
        self._callers = []
        self._session = None
        self.processes = {}

    async def start(self):
        self._session = aiohttp.ClientSession()
        names = [f"entry-{number + 1}" for number in range(DAEMONS)]
        ports = iter(free_ports(3 * DAEMONS))
        listen = {
            name: {
                part: f"127.0.0.1:{next(ports)}"
                for part in ("callers", "peers", "operators")
            }
            for name in names
        }
        self.platform = PlatformStandin(
            PlatformSettings(hosts=tuple(entry_host(name, listen) for name in names))
        )
        await self.platform.start()
        for name in names:
            self._settings[name] = {
                "host": name,
                "zone": name.replace("entry", "zone"),
                "listen": listen[name],
                "platform": self.platform.url,
            }
        for number in range(TARGETS):
            await self._start_server(number)
        for name in names:
            self.start_daemon(name)
        await self._accept()
        await self.until(self._all_serve)

    async def stop(self):
        for caller in self._callers:
            await caller.stop()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for target in self._targets:
            await target.stop()
        await self.platform.stop()
        await self._session.close()

    def start_daemon(self, name):
        path = self._directory / f"{name}.json5"
        path.write_text(json.dumps(self._settings[name]))
        with (self._directory / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-c", RUN_DAEMON, "--settings", str(path)],
                stderr=log,
                env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
            )

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    async def wait_exit(self, name):
        return await asyncio.to_thread(self.processes[name].wait, 20)

    async def leader_with_witnesses(self):
        """Waits until the shard's roster is whole, and names its leader."""
        await self.until(self._has_whole_roster)
        return await self.leader()

    async def leader(self):
        for name in self._settings:
            state = await self._operator(name, "state")
            if state["leadership"]:
                return name
        raise AssertionError("no daemon leads")

    async def call_for(self, seconds, gateways, seed):
        """Has callers send requests; returns what became of each."""
        settings = CallerSettings(
            workspace="workshop",
            token="workshop-example",
            gateways=tuple(
                self._settings[name]["listen"]["callers"] for name in gateways
            ),
            kinds=KINDS,
            requests_per_second=100.0,
            seconds=seconds,
            keys=200,
            seed=seed,
        )
        caller = CallerStandin(settings)
        self._callers.append(caller)
        await caller.start()
        await caller.wait_done()
        return caller.journal.told

    def journal(self):
        merged = Journal()
        for part in (*self._targets, *self._callers):
            merged += part.journal
        return merged

    async def is_ready(self, name):
        try:
            return (await self._operator(name, "health"))["ready"]
        except aiohttp.ClientError:
            return False

    async def until(self, condition, seconds=20.0):
        async with asyncio.timeout(seconds):
            while not await condition():
                await asyncio.sleep(POLL_SECONDS)

    async def _all_serve(self):
        for name in self._settings:
            if not await self.is_ready(name):
                return False
        told = await self.call_for(0.3, list(self._settings), random.getrandbits(32))
        return bool(told) and all(one.verdict == "completed" for one in told)

    async def _has_whole_roster(self):
        rosters = [
            led["roster"]
            for name in self._settings
            for led in (await self._operator(name, "state"))["leadership"].values()
        ]
        return any(len(roster) == DAEMONS for roster in rosters)

    async def _start_server(self, number):
        target = TargetStandin(
            TargetSettings(
                name=f"stock-{number + 1}",
                zone=f"zone-{number + 1}",
                workspace="workshop",
                service="stock",
                platform=self.platform.url,
                seed=number,
            )
        )
        self._targets.append(target)
        await target.start()

    async def _accept(self):
        store = HttpStore(self.platform.url)
        offered = generate(read_questionnaire(WORKSHOP)).configuration
        result = await Acceptance(store, random.Random(1)).accept(offered, 0)
        assert result == Accepted(1)
        await store.close()

    async def _operator(self, name, page):
        address = self._settings[name]["listen"]["operators"]
        async with self._session.get(
            f"http://{address}/{page}", timeout=aiohttp.ClientTimeout(total=2)
        ) as response:
            return await response.json()


def entry_host(name, listen):
    return Host(
        name,
        HostRole.ENTRY,
        name.replace("entry", "zone"),
        listen[name]["peers"],
        operators_address=listen[name]["operators"],
        callers_address=listen[name]["callers"],
    )


def free_ports(count):
    """Asks the kernel for ports, and holds all until each is known."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports
