"""The connections to a store over HTTP, and the era that it names."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from balsamway.exchange import ConnectionPool, HttpResponse, NotSent, ResponseLost
from balsamway.store.era import parse_era

if TYPE_CHECKING:
    from balsamway.exchange import HttpRequest
    from balsamway.store.call_counts import CallCounts

MAX_CONNECTIONS = 8
"""The maximum number of open connections to the store."""
MAX_TRIED_CONNECTIONS = MAX_CONNECTIONS + 1
"""Bounds the connections that are tried for a call: all that were idle may
have been closed, but not the one that is opened after them."""

logger = logging.getLogger(__name__)


class StoreConnections:
    """Sends calls to the store, and follows the era in its responses."""

    def __init__(self, address: str, era_header: str, counts: CallCounts) -> None:
        """Create a pool without connections.

        Args:
            address: The store's `ip:port`.
            era_header: The name of the header that holds the era.
            counts: The metrics in which a change of the era is counted.
        """
        self._pool = ConnectionPool(address, MAX_CONNECTIONS)
        self._era_header = era_header
        self._counts = counts
        self._era = 0

    @property
    def era(self) -> int:
        """The highest era of the store that a response named."""
        return self._era

    async def call(
        self, request: HttpRequest, timeout_seconds: float
    ) -> HttpResponse | ResponseLost | NotSent:
        """Send a request over a connection of the pool.

        A request is sent at most once. It is tried on another connection only
        if nothing was written to the first.

        Args:
            request: The request.
            timeout_seconds: The longest time for the call.
        """
        try:
            async with asyncio.timeout(timeout_seconds):
                for _ in range(MAX_TRIED_CONNECTIONS):
                    connection = await self._pool.acquire()
                    if isinstance(connection, NotSent):
                        return connection
                    try:
                        response = await connection.exchange(request)
                    finally:
                        self._pool.release(connection)
                    # `NotSent` means that an idle connection had been closed,
                    # so that nothing was written.
                    if not isinstance(response, NotSent):
                        self._note_era(response)
                        break
                return response
        except TimeoutError:
            return ResponseLost(f"no response within {timeout_seconds} s")

    def era_of(self, response: HttpResponse | ResponseLost | NotSent) -> int:
        """Return the era of the store that sent a response.

        A response without a readable era counts as one of the last known era.

        Args:
            response: The response.
        """
        if not isinstance(response, HttpResponse):
            return self._era
        text = response.headers.get(self._era_header)
        era = None if text is None else parse_era(text)
        return self._era if era is None else era

    def _note_era(self, response: HttpResponse | ResponseLost) -> None:
        era = self.era_of(response)
        if era > self._era:
            logger.warning(
                "store-era-changed", extra={"era": era, "previous": self._era}
            )
            self._era = era
            self._counts.era_changed(era)
