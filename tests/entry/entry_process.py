"""An entry host's process with a store and two targets of its own."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from pathlib import Path

from tests.fakes.scripted_target import ScriptedTarget, answer, read_answer
from tests.fakes.store_standin import StoreStandin

ROOT = Path(__file__).parents[2]
START_SECONDS = 30.0
"""Bounds how long a test waits for the process. It is not a check."""
ANSWER_SECONDS = 30.0
"""Bounds how long a test waits for an answer. It is not a check."""
RETRY_SECONDS = 0.2
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 8 << 20
HEADER_TIMEOUT_MS = 1_000
IDLE_TIMEOUT_MS = 2_000

SETTINGS = """
[self]
node = "entry-1"
ip = "{ip}"
zone = "z"
[self.limits]
memoryMb = {memory_mb}
maxFds = {max_fds}
[network]
internalPorts = [{peers}, {operators}]
[network.listen]
front = "{ip}:{front}"
readyAddress = "{ip}:{ready}"
[platform.platform]
address = "{store}"
"""


class EntryProcess:
    """Runs `balsamway.platform.main` on a loopback address of its own.

    Requests with the host `plain.example` are answered with `body`, those
    with the host `held.example` are never answered.
    """

    def __init__(self, directory, memory_mb, max_fds, body=b"whole"):
        self.memory_mb = memory_mb
        self.max_fds = max_fds
        self._directory = directory
        self._body = body
        self._ip = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}.9"
        self._store = StoreStandin()
        self._targets = [ScriptedTarget(self._respond), ScriptedTarget(self._hold)]
        self._process = None
        self._number = 0
        self._is_first = True
        self.peak_descriptors = 0
        self._watch = None

    async def start(self):
        await self._store.start()
        for target, service in zip(self._targets, ("plain", "held"), strict=True):
            await target.start()
            self._store.put("servers", f"{service}-1", _target(service, target))
        self._store.put("config", "main", _configuration())
        front, ready, peers, operators = _free_ports(self._ip, 4)
        self.address = (self._ip, front)
        path = self._directory / "settings.toml"
        path.write_text(
            SETTINGS.format(
                ip=self._ip,
                memory_mb=self.memory_mb,
                max_fds=self.max_fds,
                front=front,
                ready=ready,
                peers=peers,
                operators=operators,
                store=self._store.address,
            )
        )
        with (self._directory / "log").open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "balsamway.platform.main",
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PYTHONPATH": str(ROOT / "src"),
                    "BALSAMWAY_NODE_FILE": str(path),
                    "MALLOC_ARENA_MAX": "2",
                },
            )
        self._watch = asyncio.create_task(self._watch_descriptors())
        async with asyncio.timeout(START_SECONDS):
            while await self.ask() != 200:
                await asyncio.sleep(RETRY_SECONDS)
        return self

    async def stop(self):
        if self._watch is not None:
            self._watch.cancel()
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal.SIGKILL)
            await self._process.wait()
        for target in self._targets:
            await target.stop()
        await self._store.stop()

    @property
    def pid(self):
        return self._process.pid

    @property
    def is_alive(self):
        return self._process.returncode is None

    @property
    def peak_megabytes(self):
        """The peak of the resident memory since the process began."""
        status = Path(f"/proc/{self._process.pid}/status").read_text("ascii")
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024 / 1e6
        raise RuntimeError("the system tells no peak of the resident memory")

    def head(self, host="plain.example", method="GET", extra=b""):
        """Encode the head of a request with an id of its own."""
        self._number += 1
        return (
            (
                f"{method} / HTTP/1.1\r\nHost: {host}\r\n"
                f"Balsamway-Request-Id: r{self._number}\r\n"
            ).encode()
            + extra
            + b"\r\n"
        )

    async def ask(self, data=None):
        """Send a request on a new connection.

        Returns:
            The status, or None if the connection ended without a response.
        """
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                reader, writer = await asyncio.open_connection(*self.address)
                try:
                    writer.write(data or self.head())
                    response = await read_answer(reader)
                finally:
                    writer.close()
        except (OSError, EOFError):
            return None
        return None if response is None else response[0]

    async def ask_until_answered(self):
        """Send an ordinary request, as often as it is refused."""
        async with asyncio.timeout(ANSWER_SECONDS):
            while (status := await self.ask()) != 200 and self.is_alive:
                await asyncio.sleep(RETRY_SECONDS)
        return status

    def count_descriptors(self):
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    async def _watch_descriptors(self):
        while self.is_alive:
            self.peak_descriptors = max(self.peak_descriptors, self.count_descriptors())
            await asyncio.sleep(0.05)

    async def _respond(self, received, writer, number):
        request_id = received.headers["balsamway-request-id"]
        writer.write(answer(request_id, self._body))
        await writer.drain()

    async def _hold(self, received, writer, number):
        await asyncio.Event().wait()


def _target(service, target):
    return {
        "service": service,
        "address": target.address,
        "zone": "z",
        "capacity": 1_000,
        "state": "ready",
        "sequence": 1,
    }


def _configuration():
    hosts = [
        {
            "host": f"{service}.example",
            "paths": [
                {
                    "name": service,
                    "pathPrefix": "/",
                    "routeType": "unsafe",
                    "timeoutMs": 60_000,
                    "service": service,
                }
            ],
        }
        for service in ("plain", "held")
    ]
    return {
        "version": 1,
        "hosts": hosts,
        "services": [
            {"name": "plain", "maxConnections": 20},
            {"name": "held", "maxConnections": 40},
        ],
        "limits": {
            "maxHeaderBytes": MAX_HEADER_BYTES,
            "maxBodyBytes": MAX_BODY_BYTES,
            "headerTimeoutMs": HEADER_TIMEOUT_MS,
            "idleTimeoutMs": IDLE_TIMEOUT_MS,
        },
    }


def _free_ports(ip, count):
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((ip, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()
