"""The connections of this entry host to one target."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

from balsamway.address import split_address
from balsamway.clock import now
from balsamway.exchange.byte_budget import ByteBudget
from balsamway.exchange.not_sent import NotSent
from balsamway.exchange.response_reader import MAX_RESPONSE_BYTES
from balsamway.exchange.target_connection import TargetConnection

if TYPE_CHECKING:
    from collections.abc import Callable

CONNECT_TIMEOUT_SECONDS = 0.4
"""Bounds the time to open a connection. It takes a few ms if the target
accepts the connection."""
SETTLE_SECONDS = 0.003
"""How long a new connection is not used. A target with too many connections
resets a new one. If a request was written by then, it might have run."""


class ConnectionPool:
    """Opens connections to one target and reuses them.

    The number of connections is bounded. Callers of `acquire` wait while all
    of them are in use.
    """

    def __init__(
        self,
        address: str,
        limit: int,
        on_open: Callable[[], None] = lambda: None,
        settle_seconds: float = SETTLE_SECONDS,
        budget: ByteBudget | None = None,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        """Create a pool without connections.

        Args:
            address: The target's `ip:port`.
            limit: The most connections that are open at a time.
            on_open: Called after each connection that was opened.
            settle_seconds: How long a new connection is not used.
            budget: Bounds the memory of all responses together. Without one,
                the pool has its own.
            max_response_bytes: Bounds the bytes received in one exchange.
        """
        self.address = address
        self.limit = limit
        self._on_open = on_open
        self._settle_seconds = settle_seconds
        self._budget = budget if budget is not None else ByteBudget()
        self._max_response_bytes = max_response_bytes
        self._idle: list[TargetConnection] = []
        self._in_use: set[TargetConnection] = set()
        self._opening_count = 0
        self.may_use: Callable[[], bool] = lambda: True
        """Tells whether a connection may be used after the wait for it."""
        self.lost = 0
        """The number of connections that ended unexpectedly."""
        self._waiters: collections.deque[asyncio.Future[None]] = collections.deque()

    @property
    def has_room(self) -> bool:
        """Whether an exchange can begin without waiting for another one."""
        return bool(self._idle) or len(self._in_use) + self._opening_count < self.limit

    async def acquire(self) -> TargetConnection | NotSent:
        """Wait for a connection that no exchange uses, and reserve it.

        The caller must return the connection with `release`.

        Returns:
            The connection, or `NotSent` if none could be opened or used.
        """
        connection = await self._take_or_open()
        if isinstance(connection, NotSent):
            return connection
        if not self.may_use():
            self.release(connection)
            return NotSent("the target must not be used any more", is_withheld=True)
        self._in_use.add(connection)
        return connection

    def release(self, connection: TargetConnection) -> None:
        """Return a connection to the pool.

        Args:
            connection: The connection. It is closed if it cannot be reused.
        """
        self._in_use.discard(connection)
        if connection.is_usable and self.limit:
            self._idle.append(connection)
        else:
            self._discard(connection)
        self._wake_waiter()

    def close(self) -> None:
        """Close the idle connections, and others when they are released."""
        self.limit = 0
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def abort(self) -> None:
        """Reset every connection."""
        for connection in (*self._idle, *self._in_use):
            connection.abort()
        self._idle.clear()

    def close_idle(self) -> None:
        """Close the connections that were idle for too long."""
        usable = [connection for connection in self._idle if connection.is_usable]
        for connection in self._idle:
            if not connection.is_usable:
                self._discard(connection)
        self._idle = usable

    async def _take_or_open(self) -> TargetConnection | NotSent:
        while True:
            while self._idle:
                connection = self._idle.pop()
                if connection.is_usable:
                    return connection
                self._discard(connection)
            if len(self._in_use) + self._opening_count < max(1, self.limit):
                return await self._open_connection()
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            try:
                await waiter
            except asyncio.CancelledError:
                if waiter.done() and not waiter.cancelled():
                    self._wake_waiter()
                raise

    def _discard(self, connection: TargetConnection) -> None:
        if connection.ended_unexpectedly:
            self.lost += 1
        connection.close()

    async def _open_connection(self) -> TargetConnection | NotSent:
        loop = asyncio.get_running_loop()
        self._opening_count += 1
        started_at = now()
        try:
            ip, port = split_address(self.address)
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, connection = await loop.create_connection(
                    self._new_connection, ip, port
                )
                try:
                    await asyncio.sleep(self._settle_seconds)
                except asyncio.CancelledError:
                    connection.abort()
                    raise
        except TimeoutError:
            self._wake_waiter()
            return NotSent(f"no connection after {now() - started_at:.3f} s")
        except (OSError, ValueError) as error:
            self._wake_waiter()
            return NotSent(f"{type(error).__name__}: {error}")
        finally:
            self._opening_count -= 1
        self._on_open()
        if not connection.is_usable:
            self._wake_waiter()
            return NotSent("the new connection was reset", is_reset_by_target=True)
        return connection

    def _new_connection(self) -> TargetConnection:
        return TargetConnection(self._budget, self._max_response_bytes)

    def _wake_waiter(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
