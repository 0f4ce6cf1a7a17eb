"""The connections of this entry host to one target."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

from balsamway.address import split_address
from balsamway.clock import now
from balsamway.exchange.not_sent import NotSent
from balsamway.exchange.target_connection import TargetConnection

if TYPE_CHECKING:
    from collections.abc import Callable

CONNECT_SECONDS = 0.4
"""The longest time to open a connection; it takes a few ms where the target
accepts it."""


class ConnectionPool:
    """Opens, keeps and lends the connections to one target."""

    def __init__(
        self,
        address: str,
        limit: int,
        on_open: Callable[[], None] = lambda: None,
    ) -> None:
        """Makes a pool without connections.

        Args:
            address: The target's `ip:port`.
            limit: How many connections to have at a time.
            on_open: Called for each connection that was opened.
        """
        self.address = address
        self.limit = limit
        self._on_open = on_open
        self._idle: list[TargetConnection] = []
        self._lent: set[TargetConnection] = set()
        self._opening = 0
        self.lost = 0
        """How many connections ended out of order."""
        self._waiters: collections.deque[asyncio.Future[None]] = collections.deque()

    @property
    def has_room(self) -> bool:
        """Whether an exchange could begin without a wait for another."""
        return bool(self._idle) or len(self._lent) + self._opening < self.limit

    async def acquire(self) -> TargetConnection | NotSent:
        """Lends a connection, which must be given back with `release`.

        Returns:
            A connection on which nothing is under way, once there is one;
            `NotSent` if none could be opened.
        """
        connection = await self._acquire()
        if not isinstance(connection, NotSent):
            self._lent.add(connection)
        return connection

    def release(self, connection: TargetConnection) -> None:
        """Takes a connection back.

        Args:
            connection: The connection, which is kept if it can be used again.
        """
        self._lent.discard(connection)
        if connection.is_usable and self.limit:
            self._idle.append(connection)
        else:
            self._drop(connection)
        self._wake()

    def close(self) -> None:
        """Closes the idle connections; the others end with their exchange."""
        self.limit = 0
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def abort(self) -> None:
        """Resets every connection."""
        for connection in (*self._idle, *self._lent):
            connection.abort()
        self._idle.clear()

    def close_idle(self) -> None:
        """Closes the connections that were idle for too long."""
        kept = [one for one in self._idle if one.is_usable]
        for connection in self._idle:
            if not connection.is_usable:
                self._drop(connection)
        self._idle = kept

    async def _acquire(self) -> TargetConnection | NotSent:
        while True:
            while self._idle:
                connection = self._idle.pop()
                if connection.is_usable:
                    return connection
                self._drop(connection)
            if len(self._lent) + self._opening < max(1, self.limit):
                return await self._open()
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            try:
                await waiter
            except asyncio.CancelledError:
                if waiter.done() and not waiter.cancelled():
                    self._wake()
                raise

    def _drop(self, connection: TargetConnection) -> None:
        if connection.was_lost:
            self.lost += 1
        connection.close()

    async def _open(self) -> TargetConnection | NotSent:
        loop = asyncio.get_running_loop()
        self._opening += 1
        began = now()
        try:
            ip, port = split_address(self.address)
            async with asyncio.timeout(CONNECT_SECONDS):
                _, connection = await loop.create_connection(TargetConnection, ip, port)
        except TimeoutError:
            self._wake()
            return NotSent(f"no connection after {now() - began:.3f} s")
        except (OSError, ValueError) as error:
            self._wake()
            return NotSent(f"{type(error).__name__}: {error}")
        finally:
            self._opening -= 1
        self._on_open()
        return connection

    def _wake(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
