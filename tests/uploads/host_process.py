"""A process with the parts of an entry host that a large body passes.

It prints its address for callers, and once its input ends its memory.
"""

from __future__ import annotations

import asyncio
import json
import sys

from tests.exchange.host_under_endless_bytes import _peak_megabytes
from tests.fakes.upload_host import UploadHost

TIMEOUT_SECONDS = 60.0


async def _run(addresses: list[str]) -> None:
    host = await UploadHost(addresses, timeout_seconds=TIMEOUT_SECONDS).start()
    base = _peak_megabytes()
    print(host.listener.address, flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    figures = {"base_megabytes": base, "peak_megabytes": _peak_megabytes()}
    print(json.dumps(figures), flush=True)
    await host.stop()


if __name__ == "__main__":
    asyncio.run(_run(sys.argv[1:]))
