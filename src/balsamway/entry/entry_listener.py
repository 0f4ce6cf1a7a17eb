"""Listens for callers."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import mode

from balsamway.address import split_address
from balsamway.clock import now
from balsamway.entry.caller_connection import CallerConnection
from balsamway.observe.line_limit import LineLimit
from balsamway.outcome import NotRun, Reason
from balsamway.routing import CallerLimits
from balsamway.targets import header_names

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp.http_parser import RawRequestMessage

    from balsamway.entry.caller_codec import CallerCodec
    from balsamway.entry.entry_request import EntryRequest
    from balsamway.outcome import Verdict

BACKLOG = 1024
STOPPING_RETRY_SECONDS = 0.05
"""When to come back, which is to another host, after a refusal at the end."""
REFUSAL_LINES_PER_SECOND = 50
SWEEP_SECONDS = 0.5
"""How often connections are checked for their idle time."""

logger = logging.getLogger(__name__)


class EntryListener(mode.Service):
    """Accepts callers' connections and drains them when the host stops."""

    def __init__(
        self,
        address: str,
        codec: CallerCodec,
        forward: Callable[[EntryRequest], Awaitable[Verdict]],
    ) -> None:
        """Makes a listener that does not listen yet.

        Args:
            address: The `ip:port` to listen on; port 0 takes a free one.
            codec: Reads the requests.
            forward: Brings a request to its verdict.
        """
        super().__init__()
        self._listen_address = address
        self._codec = codec
        self._forward = forward
        self._server: asyncio.Server | None = None
        self._connections: set[CallerConnection] = set()
        self.limits = CallerLimits()
        """The limits in force."""
        self.is_draining = False
        """Whether each connection ends after its next answer."""
        self._in_progress = 0
        self._is_refusing = False
        self._limit = LineLimit(logger, REFUSAL_LINES_PER_SECOND)

    @property
    def address(self) -> str:
        """The `ip:port` that the listener is bound to."""
        if self._server is None:
            return self._listen_address
        ip, port = self._server.sockets[0].getsockname()[:2]
        return f"{ip}:{port}"

    @property
    def in_progress(self) -> int:
        """How many requests are in progress."""
        return self._in_progress

    async def on_start(self) -> None:
        """Starts to listen."""
        ip, port = split_address(self._listen_address)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(self), ip, port, backlog=BACKLOG
        )
        logger.info("callers-listening", extra={"address": self.address})

    async def on_stop(self) -> None:
        """Stops listening and closes what is left."""
        if self._server is not None:
            self._server.close()
        logger.info("callers-stopped", extra={"cut": self._in_progress})
        for connection in tuple(self._connections):
            connection.drop()

    async def drain(self, idle_seconds: float, whole_seconds: float) -> None:
        """Lets requests end, and then the connections.

        Args:
            idle_seconds: How long connections may bring another request.
            whole_seconds: The longest time for all of it.
        """
        self.is_draining = True
        began = now()
        await self.sleep(idle_seconds)
        self._is_refusing = True
        if self._server is not None:
            self._server.close()
        self.close_idle()
        while self._connections and now() - began < whole_seconds:
            await self.sleep(0.05)
            self.close_idle()

    def close_idle(self) -> None:
        """Closes the connections on which nothing is in progress."""
        for connection in tuple(self._connections):
            if connection.is_idle and connection.head_began is None:
                connection.close()

    async def handle(
        self, head: RawRequestMessage, body: bytes, arrived: float
    ) -> Verdict:
        """Brings a request to its verdict.

        Args:
            head: The request's parsed head.
            body: Its whole body.
            arrived: When its head arrived.

        Returns:
            The verdict.
        """
        if self._is_refusing:
            # It may last longer than this host, and others are there for it.
            refusal = NotRun(
                Reason.STOPPING, retry_after_seconds=STOPPING_RETRY_SECONDS
            )
            return self._refuse(head, refusal)
        request = self._codec.read_request(head, body, arrived)
        if isinstance(request, NotRun):
            return self._refuse(head, request)
        self._in_progress += 1
        try:
            return await self._forward(request)
        finally:
            self._in_progress -= 1

    def _refuse(self, head: RawRequestMessage, refusal: NotRun) -> NotRun:
        if self._limit.allow():
            logger.info(
                "request-refused",
                extra={
                    "request_id": head.headers.get(header_names.REQUEST_ID),
                    "reason": refusal.reason,
                    "detail": refusal.detail,
                },
            )
        return refusal

    def on_connected(self, connection: CallerConnection) -> None:
        """Takes in a new connection."""
        self._connections.add(connection)

    def on_disconnected(self, connection: CallerConnection) -> None:
        """Forgets a connection."""
        self._connections.discard(connection)

    def dump(self) -> dict[str, object]:
        """Gives the listener's state for the state dump."""
        return {
            "address": self.address,
            "draining": self.is_draining,
            "connections": len(self._connections),
            "in_progress": self._in_progress,
        }

    @mode.Service.task
    async def _sweep(self) -> None:
        while not self.should_stop:
            await self.sleep(SWEEP_SECONDS)
            for connection in tuple(self._connections):
                self._check(connection)

    def _check(self, connection: CallerConnection) -> None:
        if not connection.is_idle:
            return
        began = connection.head_began
        if began is not None:
            if now() - began > self.limits.header_timeout_seconds:
                connection.refuse_slow_head()
        elif now() - connection.active_at > self.limits.idle_timeout_seconds:
            connection.close()
