"""A target that answers at once, in its own process."""

from __future__ import annotations

import asyncio
import signal

from aiohttp import web

from balsamway.targets import header_names

ANSWER = b"x" * 256


async def answer(request: web.BaseRequest) -> web.StreamResponse:
    """Answers a request as completed.

    Args:
        request: The request.

    Returns:
        The answer.
    """
    await request.read()
    headers = {
        header_names.REQUEST_ID: request.headers.get(header_names.REQUEST_ID, ""),
        header_names.VERDICT: "completed",
    }
    return web.Response(body=ANSWER, headers=headers)


async def _serve() -> None:
    runner = web.ServerRunner(web.Server(answer, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    ip, port = runner.addresses[0][:2]
    print(f"{ip}:{port}", flush=True)
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()
    await runner.cleanup()


if __name__ == "__main__":
    asyncio.run(_serve())
