"""Compare the processor time of small requests between two source trees.

Usage: python -m benchmarks.small_requests BASE_SRC NEW_SRC [ROUNDS]

A host process has the listener for callers, the forwarder and the transport of
one tree; this process is its caller and its target. The two hosts take turns
with short bursts of requests, so that other load on the machine meets both.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import statistics
import sys
import time

BURST_REQUESTS = 400
CONNECTIONS = 4
BODY_SIZES = (0, 1_000, 16_000)
WARM_UP_ROUNDS = 3


async def _host(target: str) -> None:
    from tests.fakes.admit_all import AdmitAll

    from balsamway.discovery import TargetDirectory, TargetEntry
    from balsamway.entry import EntryListener
    from balsamway.exchange import ResponseBudget
    from balsamway.forwarding.forwarder import Forwarder
    from balsamway.forwarding.forwarding_settings import ForwardingSettings
    from balsamway.forwarding.request_log import RequestLog
    from balsamway.forwarding.service_targets import ServiceTargets
    from balsamway.platform.caller_codec import PlatformCallerCodec
    from balsamway.platform.target_transport import PlatformTargetTransport
    from balsamway.routing import (
        Backend,
        Route,
        RoutedService,
        RouteType,
        RoutingConfiguration,
    )

    directory = TargetDirectory()
    targets = ServiceTargets(directory, lambda: None, 2.0, ResponseBudget())
    forwarder = Forwarder(
        "z",
        targets,
        None,  # type: ignore[arg-type]
        PlatformTargetTransport(),
        AdmitAll(),  # type: ignore[arg-type]
        ForwardingSettings(0.2, 60, 1),
        (RequestLog(),),
        random.Random(1),
    )
    listener = EntryListener("127.0.0.1:0", PlatformCallerCodec(), forwarder.forward)
    route = Route("r", "h", "/", RouteType.UNSAFE, 5.0, 3.0, 1, 2, (Backend("s", 1.0),))
    services = {"s": RoutedService("s", 400)}
    forwarder.adopt(RoutingConfiguration(1, (route,), services))
    directory.replace(
        [
            TargetEntry(f"i-{number}", 1, "s", target, "z", 8, False, 0.0)
            for number in range(20)
        ]
    )
    await listener.start()
    print(listener.address, flush=True)
    loop = asyncio.get_running_loop()
    while await loop.run_in_executor(None, sys.stdin.readline):
        print(time.process_time(), flush=True)
    await listener.stop()


async def _serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            length = head.partition("content-length: ")[2].partition("\r")[0]
            await reader.readexactly(int(length or 0))
            request_id = head.partition("request-id: ")[2].partition("\r")[0]
            writer.write(
                f"HTTP/1.1 200 OK\r\nBalsamway-Request-Id: {request_id}\r\n"
                "Balsamway-Response-Signature: s\r\n"
                "Content-Length: 2\r\n\r\nok".encode()
            )
    except (OSError, EOFError, asyncio.CancelledError):
        writer.close()


async def _call(address: str, requests: int, body: bytes) -> None:
    ip, port = address.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    method = "POST" if body else "GET"
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    for number in range(requests):
        head = (
            f"{method} /a HTTP/1.1\r\nHost: h\r\n"
            f"Balsamway-Request-Id: {number}\r\n{length}\r\n"
        )
        writer.write(head.encode() + body)
        answer = await reader.readuntil(b"\r\n\r\nok")
        if not answer.startswith(b"HTTP/1.1 200"):
            raise RuntimeError(answer.decode())
    writer.close()


class _HostProcess:
    """A host of one source tree, whose processor time can be asked for."""

    def __init__(self, process: asyncio.subprocess.Process, address: str) -> None:
        self._process = process
        self._address = address

    @classmethod
    async def start(cls, source: str, target: str) -> _HostProcess:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "benchmarks.small_requests",
            "--host",
            target,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            env=os.environ | {"PYTHONPATH": f"{source}:{os.getcwd()}"},
        )
        assert process.stdout is not None
        return cls(process, (await process.stdout.readline()).decode().strip())

    async def cost(self, body: bytes) -> float:
        """Return the processor time of a request, in microseconds."""
        began = await self._processor_seconds()
        share = BURST_REQUESTS // CONNECTIONS
        await asyncio.gather(
            *(_call(self._address, share, body) for _ in range(CONNECTIONS))
        )
        seconds = await self._processor_seconds() - began
        return seconds / BURST_REQUESTS * 1e6

    async def stop(self) -> None:
        assert self._process.stdin is not None
        self._process.stdin.close()
        await self._process.wait()

    async def _processor_seconds(self) -> float:
        assert self._process.stdin is not None and self._process.stdout is not None
        self._process.stdin.write(b"\n")
        return float(await self._process.stdout.readline())


async def _compare(base: str, new: str, rounds: int) -> None:
    server = await asyncio.start_server(_serve, "127.0.0.1", 0)
    ip, port = server.sockets[0].getsockname()
    hosts = [await _HostProcess.start(tree, f"{ip}:{port}") for tree in (base, new)]
    for size in BODY_SIZES:
        body = bytes(size)
        figures: tuple[list[float], list[float]] = ([], [])
        for number in range(rounds + WARM_UP_ROUNDS):
            for index in (0, 1) if number % 2 else (1, 0):
                cost = await hosts[index].cost(body)
                if number >= WARM_UP_ROUNDS:
                    figures[index].append(cost)
        ratios = [after / before for before, after in zip(*figures, strict=True)]
        row = {
            "body_bytes": size,
            "rounds": rounds,
            "base_us": round(statistics.median(figures[0]), 1),
            "new_us": round(statistics.median(figures[1]), 1),
            "median_change_percent": round(100 * (statistics.median(ratios) - 1), 2),
            "quartiles_percent": [
                round(100 * (ratio - 1), 2)
                for ratio in statistics.quantiles(ratios, n=4)[::2]
            ],
        }
        print(json.dumps(row), flush=True)
    for host in hosts:
        await host.stop()


if __name__ == "__main__":
    if sys.argv[1] == "--host":
        asyncio.run(_host(sys.argv[2]))
    else:
        count = int(sys.argv[3]) if len(sys.argv) > 3 else 40
        asyncio.run(_compare(sys.argv[1], sys.argv[2], count))
