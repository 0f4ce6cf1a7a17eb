"""Serve metrics, state dump and health to operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

import mode
import msgspec
from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from balsamway.address import split_address

if TYPE_CHECKING:
    from collections.abc import Callable

    from prometheus_client import CollectorRegistry

    from balsamway.daemon.health import Health


class OperatorListener(mode.Service):
    """HTTP listener for operators, with the paths of its own address.

    It serves metrics, the state dump and health. The health path responds
    with status 200 while the daemon accepts requests and 503 otherwise.
    """

    def __init__(
        self,
        address: str,
        registry: CollectorRegistry,
        state: Callable[[], dict[str, object]],
        health: Callable[[], Health],
    ) -> None:
        """Create the listener without binding its address.

        Args:
            address: The `ip:port` to listen on; port 0 for a free port.
            registry: The metrics to serve.
            state: Return the state dump of the process.
            health: Return the health of the process.
        """
        super().__init__()
        self._address = address
        self._registry = registry
        self._state = state
        self._health = health
        self._runner: web.AppRunner | None = None

    @property
    def address(self) -> str:
        """The `ip:port` that the listener is bound to.

        Before the start, the address to listen on.
        """
        if self._runner is None or not self._runner.addresses:
            return self._address
        ip, port = self._runner.addresses[0][:2]
        return f"{ip}:{port}"

    async def on_start(self) -> None:
        """Bind the address and start listening."""
        application = web.Application()
        application.router.add_get("/metrics", self._on_metrics)
        application.router.add_get("/state", self._on_state)
        application.router.add_get("/health", self._on_health)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, *split_address(self._address)).start()

    async def on_stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _on_metrics(self, request: web.Request) -> web.Response:
        body = generate_latest(self._registry)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})

    async def _on_state(self, request: web.Request) -> web.Response:
        body = msgspec.json.encode(self._state())
        return web.Response(body=body, content_type="application/json")

    async def _on_health(self, request: web.Request) -> web.Response:
        health = self._health()
        status = 200 if health.ready else 503
        body = msgspec.json.encode(health)
        return web.Response(body=body, status=status, content_type="application/json")
