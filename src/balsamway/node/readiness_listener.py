"""Report to the load balancer whether this host accepts connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

import mode
from aiohttp import web

from balsamway.address import split_address

if TYPE_CHECKING:
    from collections.abc import Callable


class ReadinessListener(mode.Service):
    """HTTP listener that serves the readiness path and nothing else.

    It responds with status 200 while the host is ready and 503 otherwise.
    """

    def __init__(self, address: str, path: str, is_ready: Callable[[], bool]) -> None:
        """Create the listener without binding its address.

        Args:
            address: The `ip:port` to listen on.
            path: The path that the load balancer requests.
            is_ready: Return whether this host accepts new connections.
        """
        super().__init__()
        self._address = address
        self._path = path
        self._is_ready = is_ready
        self._runner: web.ServerRunner | None = None

    async def on_start(self) -> None:
        """Start listening."""
        self._runner = web.ServerRunner(web.Server(self._on_request, access_log=None))
        await self._runner.setup()
        await web.TCPSite(self._runner, *split_address(self._address)).start()

    async def on_stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _on_request(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != self._path:
            return web.Response(status=404)
        return web.Response(status=200 if self._is_ready() else 503)
