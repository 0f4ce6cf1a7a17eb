"""A target that treats each request as a test has scripted."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from aiohttp import web

from balsamway.store import Host, HostRole
from balsamway.targets import header_names

Behaviour = Callable[["GatewayTarget", web.Request], Awaitable[web.StreamResponse]]


@dataclass
class GatewayTarget:
    """Treats each request with the next behaviour.

    Without one it uses `otherwise`, and without that it runs the request.
    """

    name: str = "s1"
    service: str = "prices"
    zone: str = "a"
    behaviours: deque[Behaviour] = field(default_factory=deque)
    otherwise: Behaviour | None = None
    received: list[str] = field(default_factory=list)
    ran: list[str] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    cancel_outcome: str = "unknown"
    cancelled_attempt: str = ""
    """Attempt that the response to a cancellation names.

    Empty for the attempt that was cancelled.
    """
    seen: list[dict[str, str]] = field(default_factory=list)
    connections: set[asyncio.Transport] = field(default_factory=set)
    health: dict[str, object] = field(
        default_factory=lambda: {"state": "ready", "load": 0.0}
    )
    address: str = ""
    runner: web.AppRunner | None = None

    async def start(self) -> GatewayTarget:
        app = web.Application(client_max_size=2**24)
        app.router.add_post("/requests/{service}/{kind}", self.on_request)
        app.router.add_delete("/requests/{request_id}", self.on_cancel)
        app.router.add_get("/health", self.on_health)
        self.runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        ip, port = self.runner.addresses[0][:2]
        self.address = f"{ip}:{port}"
        return self

    async def stop(self) -> None:
        await self.runner.cleanup()

    @property
    def host(self) -> Host:
        return Host(
            self.name, HostRole.TARGET, self.zone, self.address, "lids", self.service
        )

    async def on_request(self, request: web.Request) -> web.StreamResponse:
        self.connections.add(request.transport)
        self.received.append(request.headers[header_names.REQUEST_ID])
        self.seen.append(dict(request.headers))
        behaviour = self.otherwise or run
        if self.behaviours:
            behaviour = self.behaviours.popleft()
        return await behaviour(self, request)

    async def on_cancel(self, request: web.Request) -> web.Response:
        self.cancelled.append(request.match_info["request_id"])
        attempt = self.cancelled_attempt or request.headers[header_names.ATTEMPT]
        return web.json_response({"outcome": self.cancel_outcome, "attempt": attempt})

    async def on_health(self, request: web.Request) -> web.Response:
        self.connections.add(request.transport)
        return web.json_response(self.health)


def answer(
    request: web.Request, verdict: str = "completed", **other_headers: str
) -> dict[str, str]:
    return {
        header_names.REQUEST_ID: request.headers[header_names.REQUEST_ID],
        header_names.VERDICT: verdict,
        **other_headers,
    }


async def run(target: GatewayTarget, request: web.Request) -> web.Response:
    body = await request.read()
    target.ran.append(request.headers[header_names.REQUEST_ID])
    return web.Response(body=b"ran " + body, headers=answer(request))


def run_for(seconds: float) -> Behaviour:
    async def behaviour(target: GatewayTarget, request: web.Request) -> web.Response:
        await asyncio.sleep(seconds)
        return await run(target, request)

    return behaviour


def refuse(reason: str) -> Behaviour:
    async def behaviour(target: GatewayTarget, request: web.Request) -> web.Response:
        headers = answer(request, "not-run")
        headers[header_names.REASON] = reason
        return web.Response(status=503, headers=headers)

    return behaviour


async def run_and_lose(target: GatewayTarget, request: web.Request) -> web.Response:
    await run(target, request)
    request.transport.abort()
    await asyncio.sleep(3600)
    raise AssertionError


async def run_and_cut(
    target: GatewayTarget, request: web.Request
) -> web.StreamResponse:
    await run(target, request)
    response = web.StreamResponse(headers=answer(request))
    response.content_length = 100
    await response.prepare(request)
    await response.write(b"half")
    request.transport.close()
    return response


async def run_and_swap(target: GatewayTarget, request: web.Request) -> web.Response:
    response = await run(target, request)
    response.headers[header_names.REQUEST_ID] = "another"
    return response


async def run_and_close(target: GatewayTarget, request: web.Request) -> web.Response:
    """Send a response that keeps the connection alive, then close it."""
    response = await run(target, request)
    asyncio.get_running_loop().call_soon(request.transport.close)
    return response


async def run_without_verdict(
    target: GatewayTarget, request: web.Request
) -> web.Response:
    response = await run(target, request)
    del response.headers[header_names.VERDICT]
    return response
