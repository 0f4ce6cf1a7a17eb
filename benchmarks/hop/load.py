"""Makes requests over one way, and times them."""

from __future__ import annotations

import asyncio
import os
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from benchmarks.hop.measurement import Measurement
from benchmarks.hop.one_service import TOKEN

CONCURRENCY = 32
BODY = b"y" * 256
WARM_UP_REQUESTS = 500


@dataclass(frozen=True, slots=True)
class Target:
    """A way to the target: where to post, and whose processor time counts."""

    path: str
    url: str
    pid: int


class Load:
    """Makes requests over one way, and times them."""

    def __init__(self, target: Target) -> None:
        self._target = target
        self._latencies: list[float] = []
        self._concurrent = 0
        self._concurrent_seconds = 0.0
        self._processor_seconds = 0.0
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Opens connections and warms them."""
        self._session = aiohttp.ClientSession(
            headers={"Authorization": f"Bearer {TOKEN}", "Balsamway-Key": "lid-7"},
            connector=aiohttp.TCPConnector(limit=CONCURRENCY),
        )
        for _ in range(WARM_UP_REQUESTS):
            await self._post()

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()

    async def one_at_a_time(self, seconds: float) -> None:
        """Makes one request after another.

        Args:
            seconds: For how long.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while (begin := loop.time()) < end:
            await self._post()
            self._latencies.append(loop.time() - begin)

    async def many_at_a_time(self, seconds: float) -> None:
        """Makes many requests at once.

        Args:
            seconds: For how long.
        """
        loop = asyncio.get_running_loop()
        begin = loop.time()
        busy_before = _processor_seconds(self._target.pid)
        counts = await asyncio.gather(
            *(self._repeat(begin + seconds) for _ in range(CONCURRENCY))
        )
        self._concurrent += sum(counts)
        self._concurrent_seconds += loop.time() - begin
        self._processor_seconds += _processor_seconds(self._target.pid) - busy_before

    def measurement(self) -> Measurement:
        """Sums up what was measured."""
        ordered = sorted(self._latencies)
        return Measurement(
            path=self._target.path,
            requests=len(ordered) + self._concurrent,
            median_ms=ordered[len(ordered) // 2] * 1000,
            p99_ms=ordered[len(ordered) * 99 // 100] * 1000,
            concurrent_per_second=self._concurrent / self._concurrent_seconds,
            per_core_second=self._concurrent / self._processor_seconds,
        )

    async def _repeat(self, end: float) -> int:
        loop = asyncio.get_running_loop()
        count = 0
        while loop.time() < end:
            await self._post()
            count += 1
        return count

    async def _post(self) -> None:
        assert self._session is not None
        async with self._session.post(self._target.url, data=BODY) as response:
            await response.read()
            if response.status != 200:
                raise RuntimeError(f"status {response.status}")


def _processor_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")
