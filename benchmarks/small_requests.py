"""Compares the processor time that two source trees take for small requests.

Run as `python -m benchmarks.small_requests BEFORE AFTER`, where each is a
directory that has `src`. The entry host is a process; its store, target and
callers are in this one. The trees are taken in turn.
"""

from __future__ import annotations

import asyncio
import os
import statistics
import sys
import tempfile
from pathlib import Path

from tests.entry import entry_process
from tests.fakes.scripted_target import read_answer

CONNECTIONS = 4
WARM_UP_REQUESTS = 200
REQUESTS = 1_000
"""For each connection."""
ROUNDS = 7
HEADERS = b"".join(b"X-Header-%d: some value\r\n" % number for number in range(6))


async def _send(process: entry_process.EntryProcess, count: int) -> int:
    """Send requests one after the other, and return how many were refused."""
    refused = 0
    reader, writer = await asyncio.open_connection(*process.address)
    for _ in range(count):
        writer.write(process.head(extra=HEADERS))
        answer = await read_answer(reader)
        if answer is None:
            raise RuntimeError("the connection was closed")
        if answer[0] != 200:
            refused += 1
    writer.close()
    return refused


def _processor_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text("ascii").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def _measure(root: Path) -> float:
    """Return the microseconds of processor time for a request."""
    entry_process.ROOT = root
    with tempfile.TemporaryDirectory() as directory:
        process = entry_process.EntryProcess(Path(directory), 300, 4_096)
        await process.start()
        try:
            await asyncio.gather(
                *(_send(process, WARM_UP_REQUESTS) for _ in range(CONNECTIONS))
            )
            before = _processor_seconds(process.pid)
            refused = await asyncio.gather(
                *(_send(process, REQUESTS) for _ in range(CONNECTIONS))
            )
            seconds = _processor_seconds(process.pid) - before
        finally:
            await process.stop()
    if any(refused):
        print(f"{root}: {sum(refused)} requests were refused")
    return seconds / (CONNECTIONS * REQUESTS) * 1e6


def run(roots: list[Path]) -> None:
    """Measure each tree in turn, and print the figures."""
    figures: dict[Path, list[float]] = {root: [] for root in roots}
    for number in range(ROUNDS):
        for root in roots if number % 2 == 0 else reversed(roots):
            figures[root].append(asyncio.run(_measure(root)))
    for root, values in figures.items():
        shown = " ".join(f"{value:.0f}" for value in values)
        print(f"{root}: median {statistics.median(values):.1f} us of {shown}")


if __name__ == "__main__":
    run([Path(name) for name in sys.argv[1:]])
