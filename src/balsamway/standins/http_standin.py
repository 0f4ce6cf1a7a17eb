"""The HTTP server that the stand-ins are built on."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import mode
from aiohttp import web

from balsamway.address import split_address

if TYPE_CHECKING:
    from collections.abc import Iterable

STOP_TIMEOUT_SECONDS = 1.0
"""How long a stop waits for requests in progress before it cancels them."""


class HttpStandin(mode.Service):
    """Serves HTTP on one address and can limit the number of connections.

    Args:
        address: `ip:port` to listen on; port 0 lets the kernel choose a
            port.
        connection_limit: How many connections are accepted at once; None for
            no limit.
    """

    def __init__(self, address: str, connection_limit: int | None = None) -> None:
        super().__init__()
        self._listen_address = address
        self._connection_limit = connection_limit
        self._runner: web.AppRunner | None = None
        self._listener: asyncio.Server | None = None
        self._refused_connections = 0

    @property
    def address(self) -> str:
        """The address on which the server listens, as `ip:port`."""
        if self._listener is None:
            return self._listen_address
        host, port = self._listener.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    @property
    def url(self) -> str:
        """The base URL of the server."""
        return f"http://{self.address}"

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        if self._runner is None or self._runner.server is None:
            return 0
        return len(self._runner.server.connections)

    @property
    def refused_connections(self) -> int:
        """The number of connections refused since the start."""
        return self._refused_connections

    def routes(self) -> Iterable[web.RouteDef]:
        """Return the routes that the server handles."""
        raise NotImplementedError

    async def on_start(self) -> None:
        """Start to listen."""
        app = web.Application(client_max_size=4 << 20)
        app.add_routes(self.routes())
        runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=STOP_TIMEOUT_SECONDS,
        )
        await runner.setup()
        self._runner = runner
        ip, port = split_address(self._listen_address)
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._create_protocol, ip, port)

    async def on_stop(self) -> None:
        """Stop listening and close the connections."""
        if self._listener is not None:
            self._listener.close()
        if self._runner is not None:
            await self._runner.cleanup()

    def _create_protocol(self) -> asyncio.BaseProtocol:
        assert self._runner is not None and self._runner.server is not None
        limit = self._connection_limit
        if limit is not None and self.connection_count >= limit:
            self._refused_connections += 1
            return _RefusedConnection()
        return self._runner.server()


class _RefusedConnection(asyncio.Protocol):
    """Aborts a connection as soon as it is accepted."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Abort the connection."""
        assert isinstance(transport, asyncio.Transport)
        transport.abort()
