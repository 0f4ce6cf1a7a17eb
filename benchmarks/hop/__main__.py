"""Measures what one gateway hop adds to a direct call, in one run.

The target, the gateway and the caller are a process each. The ways are taken
in turn, several times, so that all of them meet the same state of the machine.
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path

import msgspec
from absl import app, flags
from rich.console import Console
from rich.table import Table

from benchmarks.hop.load import Load, Target
from benchmarks.hop.measurement import Measurement

SECONDS_FLAG = flags.DEFINE_float("seconds", 5.0, "How long to measure each way.")
JSON_FLAG = flags.DEFINE_string("json", None, "A file for the figures.")
PROFILE_FLAG = flags.DEFINE_bool("profile", False, "Profile the gateway.")

ROUNDS = 5


async def _measure(targets: list[Target], seconds: float) -> list[Measurement]:
    loads = [Load(target) for target in targets]
    for load in loads:
        await load.open()
    for _ in range(ROUNDS):
        for load in loads:
            await load.one_at_a_time(seconds / ROUNDS / 2)
            await load.many_at_a_time(seconds / ROUNDS / 2)
    for load in loads:
        await load.close()
    return [load.measurement() for load in loads]


def _start(module: str, *arguments: str) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", f"benchmarks.hop.{module}", *arguments],
        stdout=subprocess.PIPE,
        text=True,
    )


def _address(process: subprocess.Popen[str]) -> str:
    assert process.stdout is not None
    return process.stdout.readline().strip()


def _targets(
    target: subprocess.Popen[str], gateway: subprocess.Popen[str], address: str
) -> list[Target]:
    entry = _address(gateway)
    return [
        Target("direct", f"http://{address}/requests/prices/order", target.pid),
        Target("order, no owner", f"http://{entry}/v1/prices/order", gateway.pid),
        Target("order, by key", f"http://{entry}/v1/stock/order", gateway.pid),
        Target("lookup, no owner", f"http://{entry}/v1/prices/lookup", gateway.pid),
    ]


def _show(measurements: list[Measurement]) -> None:
    direct = measurements[0]
    table = Table(title="One gateway hop")
    for name in ("path", "requests", "median ms", "p99 ms", "added median ms"):
        table.add_column(name, justify="right")
    for name in ("added p99 ms", "a second, 32 at once", "a core second"):
        table.add_column(name, justify="right")
    for found in measurements:
        table.add_row(
            found.path,
            str(found.requests),
            f"{found.median_ms:.3f}",
            f"{found.p99_ms:.3f}",
            f"{found.median_ms - direct.median_ms:.3f}",
            f"{found.p99_ms - direct.p99_ms:.3f}",
            f"{found.concurrent_per_second:.0f}",
            f"{found.per_core_second:.0f}",
        )
    Console(width=120).print(table)


def _main(arguments: list[str]) -> None:
    target = _start("bare_target")
    address = _address(target)
    more = ["--profile"] if PROFILE_FLAG.value else []
    gateway = _start("gateway_process", address, *more)
    try:
        targets = _targets(target, gateway, address)
        measurements = asyncio.run(_measure(targets, SECONDS_FLAG.value))
    finally:
        for process in (gateway, target):
            process.terminate()
            process.wait(timeout=30)
    _show(measurements)
    if JSON_FLAG.value:
        Path(JSON_FLAG.value).write_bytes(msgspec.json.encode(measurements))


if __name__ == "__main__":
    app.run(_main)
