"""A gateway with one target behind it, in its own process."""

from __future__ import annotations

import asyncio
import cProfile
import pstats
import random
import signal
import sys
from typing import Any

from prometheus_client import CollectorRegistry

from balsamway.gateway import CallerListener, Gateway, GatewayMetrics
from balsamway.gateway.connection_budget import ConnectionBudget
from balsamway.gateway.target_pool import TargetPool
from balsamway.targets.http_transport import HttpTransport
from benchmarks.hop.one_service import OneService

PROFILED_FUNCTIONS = 40


async def _serve(target_address: str) -> None:
    world: Any = OneService(target_address)
    metrics = GatewayMetrics(CollectorRegistry())
    budget = ConnectionBudget("g1", world, world)
    pool = TargetPool(world, budget, random.Random(1))
    transport = HttpTransport(budget.limit, metrics.on_open)
    gateway = Gateway(pool, world, transport, world, metrics, "a", random.Random(1))
    listener = CallerListener("127.0.0.1:0", gateway, world, metrics)
    await listener.start()
    print(listener.address, flush=True)
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()
    await listener.stop()
    await transport.close()


def _main() -> None:
    if "--profile" not in sys.argv:
        asyncio.run(_serve(sys.argv[1]))
        return
    profile = cProfile.Profile()
    profile.runcall(asyncio.run, _serve(sys.argv[1]))
    stats = pstats.Stats(profile, stream=sys.stderr)
    stats.sort_stats("tottime").print_stats(PROFILED_FUNCTIONS)


if __name__ == "__main__":
    _main()
